package burn

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed report.html
var reportHTML string

// reportTemplate has its plots as SVG and needs no script, so it opens offline. The charts
// of go-echarts load their script from another host.
var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"ratePlot":    newRatePlot,
	"latencyPlot": newLatencyPlot,
}).Parse(reportHTML))

// WriteHTML writes the report as one static page with plots.
func (r Report) WriteHTML(out io.Writer) error {
	return errors.Wrap(reportTemplate.Execute(out, r), "write the report")
}
