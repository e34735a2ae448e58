package crash

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Separators of a written record: between items, between content and time, and
// before the served contents.
const (
	itemSeparator = ","
	timeSeparator = "@"
	servedMark    = ";"
)

func encode(crashed, served []Occurrence) string {
	if len(crashed)+len(served) == 0 {
		return ""
	}
	text := encodeList(crashed)
	if len(served) > 0 {
		text += servedMark + encodeList(served)
	}
	return text
}

func encodeList(list []Occurrence) string {
	items := make([]string, len(list))
	for i, s := range list {
		items[i] = s.Content.String() + timeSeparator + strconv.FormatInt(s.At.UnixMilli(), base)
	}
	return strings.Join(items, itemSeparator)
}

// ParsedRecord is a record as it was read.
type ParsedRecord struct {
	// Crashed has an item for each crash.
	Crashed []Occurrence
	Served  []Occurrence
}

// ParseRecord reads a written record. The error names the part that is wrong.
func ParseRecord(text string) (ParsedRecord, error) {
	crashed, served, _ := strings.Cut(text, servedMark)
	var contents ParsedRecord
	var err error
	if contents.Crashed, err = parseList(crashed); err != nil {
		return ParsedRecord{}, err
	}
	contents.Served, err = parseList(served)
	return contents, err
}

func parseList(text string) ([]Occurrence, error) {
	if text == "" {
		return nil, nil
	}
	items := strings.Split(text, itemSeparator)
	if len(items) > maxContents {
		return nil, errors.Errorf("%d contents, want at most %d", len(items), maxContents)
	}
	list := make([]Occurrence, len(items))
	for i, item := range items {
		content, at, _ := strings.Cut(item, timeSeparator)
		fingerprint, err := parseFingerprint(content)
		if err != nil {
			return nil, errors.Errorf("content %q is no fingerprint", content)
		}
		millis, err := strconv.ParseInt(at, base, 64)
		if err != nil {
			return nil, errors.Errorf("time %q of content %q is no number of milliseconds", at, content)
		}
		list[i] = Occurrence{Content: fingerprint, At: time.UnixMilli(millis)}
	}
	return list, nil
}
