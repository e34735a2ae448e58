package burn

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed report.html
var pageText string

// page has its plots as SVG and needs no script, so it opens offline. The charts
// of go-echarts load their script from another host.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"ratePlot":    newRatePlot,
	"latencyPlot": newLatencyPlot,
}).Parse(pageText))

// WriteHTML writes the report as one static page with plots.
func (r Report) WriteHTML(out io.Writer) error {
	return errors.Wrap(page.Execute(out, r), "write the report")
}
