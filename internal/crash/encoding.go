package crash

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Separators of an encoded record: between occurrences, between content and time,
// and before the served content.
const (
	itemSeparator   = ","
	timeSeparator   = "@"
	servedSeparator = ";"
)

func encode(crashed, served []Occurrence) string {
	if len(crashed)+len(served) == 0 {
		return ""
	}
	text := encodeList(crashed)
	if len(served) > 0 {
		text += servedSeparator + encodeList(served)
	}
	return text
}

func encodeList(list []Occurrence) string {
	items := make([]string, len(list))
	for i, o := range list {
		items[i] = o.Content.String() + timeSeparator + strconv.FormatInt(o.At.UnixMilli(), numberBase)
	}
	return strings.Join(items, itemSeparator)
}

// ParsedRecord is a decoded record.
type ParsedRecord struct {
	// Crashed has an item for each crash and each content.
	Crashed []Occurrence
	Served  []Occurrence
}

// ParseRecord decodes a record that Record.String encoded. The error names the
// malformed part.
func ParseRecord(text string) (ParsedRecord, error) {
	crashed, served, _ := strings.Cut(text, servedSeparator)
	var record ParsedRecord
	var err error
	if record.Crashed, err = parseList(crashed); err != nil {
		return ParsedRecord{}, err
	}
	record.Served, err = parseList(served)
	return record, err
}

func parseList(text string) ([]Occurrence, error) {
	if text == "" {
		return nil, nil
	}
	items := strings.Split(text, itemSeparator)
	if len(items) > maxOccurrences {
		return nil, errors.Errorf("%d occurrences, want at most %d", len(items), maxOccurrences)
	}
	list := make([]Occurrence, len(items))
	for i, item := range items {
		content, at, _ := strings.Cut(item, timeSeparator)
		fingerprint, err := parseFingerprint(content)
		if err != nil {
			return nil, errors.Errorf("content %q is not a base-36 number", content)
		}
		millis, err := strconv.ParseInt(at, numberBase, 64)
		if err != nil {
			return nil, errors.Errorf("time %q of content %q is not a base-36 number of milliseconds", at, content)
		}
		list[i] = Occurrence{Content: fingerprint, At: time.UnixMilli(millis)}
	}
	return list, nil
}
