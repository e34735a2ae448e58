package platformscenario

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// metricsTimeout bounds a request for the metrics of a sidecar.
const metricsTimeout = 2 * time.Second

// Counter returns the sum of a counter of a host's sidecar over all labels; 0 when it
// has not been counted yet.
func (d *Deployment) Counter(number int, name string) (int64, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + d.hosts[number].metricsAddress + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	sum := int64(0)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if metric, _, _ := strings.Cut(fields[0], "{"); metric != name {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return 0, errors.Wrapf(err, "value of %s", name)
		}
		sum += int64(value)
	}
	return sum, lines.Err()
}
