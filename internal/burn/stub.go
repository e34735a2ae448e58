// The types of this file stand in for the report until it is merged.
package burn

import (
	"io"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

type Config struct{}

func DefaultConfig(host, region string) Config { return Config{} }

type Windows struct{}

func New(Config, func() time.Time) (*Windows, error)                    { return &Windows{}, nil }
func (w *Windows) Encode() []byte                                       { return nil }
func (w *Windows) Merge(e [][]byte) ([]byte, error)                     { return nil, nil }
func (w *Windows) Record(target string, elapsed time.Duration, ok bool) {}
func NewReport(e []byte, targets []config.Target, now time.Time) (Report, error) {
	return Report{}, nil
}

type Row struct{}
type Report struct{ Rows []Row }

func (Report) Text() string                { return "" }
func (Report) WriteHTML(w io.Writer) error { return nil }
