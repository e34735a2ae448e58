package config

import (
	"regexp"
	"strings"
)

// Patterns of names. identifierPattern applies to names of hosts and failure
// domains, which come from settings files, and to change ids. Unlike namePattern
// it allows upper-case letters and colons.
var (
	namePattern       = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:-]*[A-Za-z0-9])?$`)
)

// Requirements of the patterns, for error messages.
const (
	nameRequirement       = "1 to 64 lower-case letters, digits, dots, hyphens or underscores, starting and ending with a letter or digit"
	identifierRequirement = "1 to 64 letters, digits, dots, colons, hyphens or underscores, starting and ending with a letter or digit"
)

func validName(name string) bool {
	return len(name) <= MaxNameBytes && namePattern.MatchString(name)
}

func validIdentifier(name string) bool {
	return len(name) <= MaxNameBytes && identifierPattern.MatchString(name)
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathBytes {
		return false
	}
	return !strings.ContainsFunc(path, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune(`?#"'\;`+"`", r)
	})
}

func validReason(reason string) bool {
	if reason == "" || len(reason) > MaxReasonBytes || strings.TrimSpace(reason) != reason {
		return false
	}
	return !strings.ContainsFunc(reason, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\uFFFD' })
}
