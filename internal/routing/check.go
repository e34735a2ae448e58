package routing

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxTimeout is far above any timeout that an operator sets on purpose; a larger one
// is treated as a mistake in the unit.
const maxTimeout = time.Hour

func checkService(service Service) error {
	switch {
	case service.Name == "":
		return errors.New("service name must not be empty")
	case !strings.HasPrefix(service.HealthPath, "/"):
		return errors.Errorf("service %q: health path %q does not begin with a slash", service.Name, service.HealthPath)
	case service.MaxConnections < 1:
		return errors.Errorf("service %q: connection limit %d must be at least 1", service.Name, service.MaxConnections)
	default:
		return nil
	}
}

func checkLimits(limits Limits) error {
	switch {
	case limits.HeaderBytes < 1:
		return errors.Errorf("limits: header size %d bytes must be above 0", limits.HeaderBytes)
	case limits.BodyBytes < 1:
		return errors.Errorf("limits: body size %d bytes must be above 0", limits.BodyBytes)
	case limits.HeaderTimeout <= 0:
		return errors.Errorf("limits: header timeout %s must be above 0", limits.HeaderTimeout)
	case limits.IdleTimeout <= 0:
		return errors.Errorf("limits: idle timeout %s must be above 0", limits.IdleTimeout)
	default:
		return nil
	}
}

func (t *Table) checkRoute(route *Route) error {
	switch {
	case route.Host == "":
		return errors.Errorf("route %q: host must not be empty", route.Name)
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	case route.Timeout <= 0 || route.Timeout > maxTimeout:
		return errors.Errorf("route %q: timeout %s must be above 0 and at most %s", route.Name, route.Timeout, maxTimeout)
	case route.Objective <= 0:
		return errors.Errorf("route %q: objective %s must be above 0", route.Name, route.Objective)
	case route.MaxAttempts < 1:
		return errors.Errorf("route %q: attempt limit %d must be at least 1", route.Name, route.MaxAttempts)
	case route.Priority < 0:
		return errors.Errorf("route %q: priority %d must be at least 0", route.Name, route.Priority)
	case len(route.Destinations) == 0:
		return errors.Errorf("route %q: at least one destination service is required", route.Name)
	default:
		return t.checkDestinations(route)
	}
}

func (t *Table) checkDestinations(route *Route) error {
	total := 0
	for _, destination := range route.Destinations {
		if _, found := t.services[destination.Service]; !found {
			return errors.Errorf("route %q: service %q is not defined in the configuration", route.Name, destination.Service)
		}
		if destination.Weight < 0 {
			return errors.Errorf("route %q: weight %d of service %q must be at least 0", route.Name, destination.Weight, destination.Service)
		}
		total += destination.Weight
	}
	if total == 0 {
		return errors.Errorf("route %q: at least one service must have a weight above 0", route.Name)
	}
	return nil
}
