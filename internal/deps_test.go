package internal_test

// These imports keep the project's libraries in go.mod while the parts that use
// them are being written.
import (
	_ "github.com/DataDog/sketches-go/ddsketch"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-echarts/go-echarts/v2/charts"
	_ "github.com/google/uuid"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc"
	_ "pgregory.net/rapid"
)
