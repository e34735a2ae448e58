package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// timeFormat is the format of the start time of a stop.
const timeFormat = time.RFC3339Nano

// keyValue is one key of an object with its value as text.
type keyValue struct {
	key, value string
}

// targetKey parses and prints one key of the operators' file.
type targetKey struct {
	name  string
	parse func(*Target, string) error
	print func(Target) string
}

// targetKeyValues returns the keys of a target as text in a fixed order.
func targetKeyValues(t Target) []keyValue {
	list := make([]keyValue, 0, len(fileKeys))
	for _, key := range fileKeys {
		list = append(list, keyValue{key.name, key.print(t)})
	}
	return list
}

// fileKeys are the keys of a [target NAME] section. Every key is required.
var fileKeys = []targetKey{
	textKey("service", func(t *Target) *string { return &t.Service }),
	{"methods", parseMethods, func(t Target) string { return strings.Join(t.Methods, ", ") }},
	textKey("path", func(t *Target) *string { return &t.Path }),
	{"idempotent", parseIdempotent, func(t Target) string { return strconv.FormatBool(t.Idempotent) }},
	durationKey("deadline", func(t *Target) *time.Duration { return &t.Deadline }),
	durationKey("latency", func(t *Target) *time.Duration { return &t.Latency }),
	percentKey("latency_percent", func(t *Target) *float64 { return &t.LatencyPercent }),
	percentKey("success_percent", func(t *Target) *float64 { return &t.SuccessPercent }),
	textKey("priority", func(t *Target) *string { return (*string)(&t.Priority) }),
}

func textKey(name string, field func(*Target) *string) targetKey {
	return targetKey{
		name:  name,
		parse: func(t *Target, value string) error { *field(t) = value; return nil },
		print: func(t Target) string { return *field(&t) },
	}
}

func durationKey(name string, field func(*Target) *time.Duration) targetKey {
	return targetKey{
		name: name,
		parse: func(t *Target, value string) (err error) {
			if *field(t), err = time.ParseDuration(value); err != nil {
				return errors.New(`is not a duration such as "400ms" or "2s"`)
			}
			return nil
		},
		print: func(t Target) string { return field(&t).String() },
	}
}

func percentKey(name string, field func(*Target) *float64) targetKey {
	return targetKey{
		name: name,
		parse: func(t *Target, value string) (err error) {
			if *field(t), err = strconv.ParseFloat(value, 64); err != nil {
				return errors.New(`is not a number such as "99.9"`)
			}
			return nil
		},
		print: func(t Target) string { return strconv.FormatFloat(*field(&t), 'g', -1, 64) },
	}
}
