package burn

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed report.html
var reportHTML string

// reportTemplate renders its plots as inline SVG without scripts, so that the
// report opens offline. go-echarts was not used because its charts load their
// script from another host.
var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"ratePlot":    newRatePlot,
	"latencyPlot": newLatencyPlot,
}).Parse(reportHTML))

// WriteHTML writes the report as one self-contained HTML page with plots.
func (r Report) WriteHTML(out io.Writer) error {
	return errors.Wrap(reportTemplate.Execute(out, r), "write the report")
}
