package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// sectionPrefix is the prefix of every section name of the operators' file.
	sectionPrefix = "target "
	// maxFileBytes is the maximum size of the operators' file.
	maxFileBytes = maxEncodedBytes
)

// fileOptions keep repeated sections and keys separate, so that they can be
// rejected, and read values literally.
var fileOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// ParseTargets parses the operators' INI file and returns its targets sorted by
// name. The file name is used only in errors, which name the file, the section
// and the key.
func ParseTargets(file string, data []byte) ([]Target, error) {
	if len(data) > maxFileBytes {
		return nil, result.Errorf(result.DocumentTooLarge, "%s: file size of %d bytes exceeds the limit of %d", file, len(data), maxFileBytes)
	}
	parsed, err := ini.LoadSources(fileOptions, data)
	if err != nil {
		return nil, result.Wrap(err, result.TargetInvalid, "%s: not a valid INI file", file)
	}
	var targets []Target
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		target, err := parseSection(file, section)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(targets, func(t Target) bool { return t.Name == target.Name }) {
			return nil, result.Errorf(result.TargetInvalid, "%s: section [%s] occurs twice", file, section.Name())
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	return targets, nil
}

func parseSection(file string, section *ini.Section) (Target, error) {
	name, found := strings.CutPrefix(section.Name(), sectionPrefix)
	if !found {
		return Target{}, result.Errorf(result.TargetUnknownKey, "%s: unknown section [%s]; sections are named [target NAME]", file, section.Name())
	}
	target := Target{Name: name}
	for _, key := range section.Keys() {
		if !slices.ContainsFunc(fileKeys, func(fileKey targetKey) bool { return fileKey.name == key.Name() }) {
			return Target{}, result.Errorf(result.TargetUnknownKey, "%s: section [%s]: unknown key %q", file, section.Name(), key.Name())
		}
	}
	for _, key := range fileKeys {
		if err := parseKey(section, key, &target); err != nil {
			return Target{}, result.Errorf(result.TargetInvalid, "%s: section [%s]: key %q %s", file, section.Name(), key.name, err)
		}
	}
	if err := target.Validate(); err != nil {
		return Target{}, result.Wrap(err, result.CodeOf(err), "%s: section [%s]", file, section.Name())
	}
	return target, nil
}

// parseKey sets one key of the target. Its error completes a message that ends
// with the name of the key.
func parseKey(section *ini.Section, key targetKey, target *Target) error {
	if !section.HasKey(key.name) {
		return errors.New("is missing")
	}
	values := section.Key(key.name).ValueWithShadows()
	if len(values) > 1 {
		return errors.New("occurs twice")
	}
	value := section.Key(key.name).Value()
	return errors.Wrapf(key.parse(target, value), "with value %q", value)
}

func parseMethods(target *Target, value string) error {
	for _, method := range strings.Split(value, ",") {
		target.Methods = append(target.Methods, strings.ToUpper(strings.TrimSpace(method)))
	}
	slices.Sort(target.Methods)
	target.Methods = slices.Compact(target.Methods)
	return nil
}

func parseIdempotent(target *Target, value string) error {
	switch value {
	case "true":
		target.Idempotent = true
	case "false":
		target.Idempotent = false
	default:
		return errors.New(`is neither "true" nor "false"`)
	}
	return nil
}

// PrintTargets formats targets as an operators' file.
func PrintTargets(targets []Target) string {
	var text strings.Builder
	for i, target := range targets {
		if i > 0 {
			text.WriteByte('\n')
		}
		fmt.Fprintf(&text, "[%s%s]\n", sectionPrefix, target.Name)
		for _, key := range targetKeyValues(target) {
			fmt.Fprintf(&text, "%s = %s\n", key.key, key.value)
		}
	}
	return text.String()
}
