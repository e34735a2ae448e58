package burn

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Report")
}

var targets = []config.Target{{
	Name: "lookups", Service: "pattern-reg", Latency: 80 * time.Millisecond, LatencyPercent: 99, SuccessPercent: 99.9,
}}

func rowOf(windows [windowCount]Counts) Row {
	row := Row{Target: "lookups", Region: "vestland", Windows: windows, Latencies: newSketch()}
	Expect(row.Latencies.AddWithCount(20, 990)).To(Succeed())
	Expect(row.Latencies.AddWithCount(300, 10)).To(Succeed())
	return row
}

var _ = ginkgo.Describe("Report", func() {
	// Guards against alerts at burn rates other than the documented ones.
	ginkgo.DescribeTable("raises alerts by burn rate",
		func(failed5m, failed1h, failed6h uint64, fast, slow bool) {
			report := NewReport([]Row{rowOf([windowCount]Counts{
				{Calls: 10_000, Failed: failed5m}, {Calls: 100_000, Failed: failed1h}, {Calls: 600_000, Failed: failed6h},
			})}, targets, start)
			status := report.Targets[0].Success
			Expect(status.FastAlert).To(Equal(fast))
			Expect(status.SlowAlert).To(Equal(slow))
			Expect(status.BurnRate6h).To(BeNumerically("~", float64(failed6h)/600, 1e-6))
			Expect(status.BudgetLeftPercent).To(BeNumerically("~", 100-float64(failed6h)/6, 1e-6))
		},
		ginkgo.Entry("none", uint64(143), uint64(1439), uint64(3599), false, false),
		ginkgo.Entry("fast needs both windows", uint64(145), uint64(1439), uint64(1440), false, false),
		ginkgo.Entry("fast", uint64(145), uint64(1441), uint64(1441), true, false),
		ginkgo.Entry("slow", uint64(0), uint64(0), uint64(3601), false, true),
	)

	// Guards against a page that needs the network and against a target name that
	// injects markup.
	ginkgo.It("writes text, JSON and a page that opens offline", func() {
		row := rowOf([windowCount]Counts{{Calls: 1000}, {Calls: 1000}, {Calls: 1000, Slow: 10}})
		row.Target = "<script>x</script>"
		renamed := targets[0]
		renamed.Name = row.Target
		report := NewReport([]Row{row, rowOf([windowCount]Counts{{}, {}, {Calls: 5}})}, []config.Target{renamed}, start)
		Expect(report.Targets).To(HaveLen(1), "the other row has no target in the configuration")
		Expect(report.Targets[0].Latency.BudgetLeftPercent).To(BeNumerically("~", 0, 1e-6))
		Expect(report.Targets[0].Quantiles.P50).To(BeNumerically("~", 20, 20*relativeAccuracy))

		var text, encoded, html bytes.Buffer
		Expect(report.WriteText(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("99% within 80ms"))
		Expect(report.WriteJSON(&encoded)).To(Succeed())
		var decoded Report
		Expect(json.Unmarshal(encoded.Bytes(), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(report))
		Expect(report.WriteHTML(&html)).To(Succeed())
		Expect(html.String()).NotTo(MatchRegexp(`(?i)<script|https?:|src=|href=|@import|url\(|NaN|ZgotmplZ`))
		Expect(regexp.MustCompile("<svg").FindAllString(html.String(), -1)).To(HaveLen(3))
	})
})
