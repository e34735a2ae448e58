package operator

import (
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
)

// processLifetime exceeds the lifetime of any process. With its defaults
// go-zero would repeat SIGTERM after 5.5 s, but the daemon itself decides when
// its work is done.
const processLifetime = 10 * 365 * 24 * time.Hour

var disableGoZeroDefaults = sync.OnceFunc(func() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: processLifetime, WaitTime: processLifetime})
	logx.Disable()
	logx.DisableStat()
})
