package telemetry

import "runtime/debug"

// unknownVersion is reported by a program that was built without module information.
const unknownVersion = "unknown"

// Version returns the name of a program with its module version, which identifies the
// commit, and the Go version that built it.
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " " + unknownVersion
	}
	version := info.Main.Version
	if version == "" {
		version = unknownVersion
	}
	return program + " " + version + " " + info.GoVersion
}
