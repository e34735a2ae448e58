package urlpath

import (
	"net/url"
	"strings"
)

// reading is one way in which a server may read a path: the conversions that it applies,
// in this order.
type reading struct {
	// decodes is set when escapes are decoded.
	decodes bool
	// convertsBackslashes is set when backslashes count as slashes.
	convertsBackslashes bool
	// dropsParameters is set when a segment ends at its first semicolon.
	dropsParameters bool
	// mergesSlashes is set when adjacent slashes count as one.
	mergesSlashes bool
}

// allReadings are all readings but the one that converts nothing.
var allReadings = func() (readings []reading) {
	bits := []bool{false, true}
	for _, decodes := range bits {
		for _, converts := range bits {
			for _, drops := range bits {
				for _, merges := range bits {
					readings = append(readings, reading{decodes, converts, drops, merges})
				}
			}
		}
	}
	return readings[1:]
}()

// overlong replaces the overlong UTF-8 forms of the special characters, which lenient
// decoders accept.
var overlong = strings.NewReplacer("\xc0\xae", ".", "\xc0\xaf", "/", "\xc1\x9c", `\`, "\xc0\x80", "\x00")

// apply returns the path as it is read. Invalid escapes stay.
func (r reading) apply(path string) string {
	if r.decodes {
		if decoded, err := url.PathUnescape(path); err == nil {
			path = decoded
		}
		path = overlong.Replace(path)
	}
	if r.convertsBackslashes {
		path = strings.ReplaceAll(path, `\`, "/")
	}
	if r.dropsParameters {
		path = dropParameters(path)
	}
	for r.mergesSlashes && strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}

func dropParameters(path string) string {
	if !strings.Contains(path, ";") {
		return path
	}
	segments := strings.Split(path, "/")
	for i := range segments {
		segments[i], _, _ = strings.Cut(segments[i], ";")
	}
	return strings.Join(segments, "/")
}

// decodeUnsendable decodes the escapes of the characters that a request can hold only
// encoded, so that they match the prefix of a route that contains them. The percent sign
// stays encoded: its decoding could produce another escape.
func decodeUnsendable(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			decoded, err := url.PathUnescape(path[i : i+3])
			if err == nil && isUnsendable(decoded[0]) {
				b.WriteByte(decoded[0])
				i += 2
				continue
			}
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func isUnsendable(c byte) bool {
	return c >= 0x80 || strings.IndexByte(" \"<>^`{|}?#", c) >= 0
}
