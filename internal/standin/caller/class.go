package caller

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Class is one class of calls, written as
// "name=orders,service=orderdesk,method=POST,path=/orders,rate=50,once=true".
type Class struct {
	Name    string
	Service string
	Method  string
	Path    string
	// Rate is the number of calls per second.
	Rate float64
	// Size is the size of a download in bytes; 0 for calls with a small response.
	Size int64
	// Body is the size of the request body in bytes.
	Body int
	// Objective is the latency within which a complete response counts as in target; 0
	// counts none.
	Objective time.Duration
	// AtMostOnce is set for non-idempotent calls.
	AtMostOnce bool
}

// UnmarshalText decodes a class. The method defaults to GET, the path to /, the rate
// to 1 and the name to the service.
func (c *Class) UnmarshalText(text []byte) error {
	*c = Class{Method: "GET", Path: "/", Rate: 1}
	for pair := range strings.SplitSeq(string(text), ",") {
		key, value, _ := strings.Cut(pair, "=")
		if err := c.set(key, value); err != nil {
			return fmt.Errorf("class %q: key %q: %w", text, key, err)
		}
	}
	if c.Name == "" {
		c.Name = c.Service
	}
	return nil
}

func (c *Class) set(key, value string) (err error) {
	switch key {
	case "name":
		c.Name = value
	case "service":
		c.Service = value
	case "method":
		c.Method = value
	case "path":
		c.Path = value
	case "rate":
		c.Rate, err = strconv.ParseFloat(value, 64)
	case "size":
		c.Size, err = strconv.ParseInt(value, 10, 64)
	case "body":
		c.Body, err = strconv.Atoi(value)
	case "objective":
		c.Objective, err = time.ParseDuration(value)
	case "once":
		c.AtMostOnce, err = strconv.ParseBool(value)
	default:
		err = errors.New("the key must be name, service, method, path, rate, size, body, objective or once")
	}
	return err
}
