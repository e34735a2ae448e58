package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

const valid = `
[node]
host = h1
ip = 127.0.0.1
region = trondelag
failure_domain = trd-hall
call_port = 7001
control_port = 7002
operator_port = 7003
announce_port = 7004
[store]
address = 127.0.0.2:7100
region = trondelag
[seeds]
nodes = 127.0.0.1:7002,127.0.0.3:7002
`

func write(content string) string {
	path := filepath.Join(GinkgoT().TempDir(), "node.ini")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("Load", func() {
	It("reads a valid file and keeps the defaults of absent keys", func() {
		loaded, err := settings.Load(write(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Seeds.Nodes).To(HaveLen(2))
		Expect(loaded.Store.Timeout).To(Equal(settings.Default().Store.Timeout))
	})

	// Guards against a daemon that starts with a misspelt key and silently uses
	// the default.
	DescribeTable("names the file, section and key that it refuses",
		func(added string, code result.Code, parts ...string) {
			path := write(valid + added)
			_, err := settings.Load(path)
			Expect(result.CodeOf(err)).To(Equal(code))
			Expect(err).To(MatchError(ContainSubstring(path)))
			for _, part := range parts {
				Expect(err).To(MatchError(ContainSubstring(part)))
			}
		},
		Entry("unknown key", "[log]\nlevle = info\n", result.SettingsUnknownKey, "[log]", "levle"),
		Entry("unknown section", "[logs]\nlevel = info\n", result.SettingsUnknownKey, "[logs]"),
		Entry("malformed duration", "[distribution]\nbatch = soon\n", result.SettingsInvalid, "[distribution]", "batch"),
		Entry("value out of range", "[distribution]\nbatch = 5s\n", result.SettingsInvalid, "[distribution]", "batch"),
		Entry("malformed number", "[limits]\ncalls = many\n", result.SettingsInvalid, "[limits]", "calls"),
	)
})

// Guards against a key that operators cannot find in the documentation.
var _ = Describe("docs/SETTINGS.md", func() {
	It("has exactly one row for each key", func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		rows := 0
		for section, keys := range settings.Keys() {
			for key := range keys {
				rows++
				Expect(string(page)).To(ContainSubstring("| `[" + section + "]` | `" + key + "` |"))
			}
		}
		Expect(strings.Count(string(page), "\n| `[")).To(Equal(rows))
	})
})
