package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

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
	DescribeTable("names the file, section and key that it rejects",
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
		daemon, sidecar, found := strings.Cut(string(page), "# Settings of the sidecar")
		Expect(found).To(BeTrue())
		expectRows(daemon, settings.Keys())
		expectRows(sidecar, settings.SidecarKeys())
	})
})

// expectRows checks that the page has exactly one row for each key.
func expectRows(page string, known map[string]map[string]reflect.Type) {
	rows := 0
	for section, keys := range known {
		for key := range keys {
			rows++
			Expect(page).To(ContainSubstring("| `[" + section + "]` | `" + key + "` |"))
		}
	}
	Expect(strings.Count(page, "\n| `[")).To(Equal(rows))
}

// Guards against a settings template whose output a sidecar rejects.
var _ = Describe("the sidecar's settings", func() {
	const valid = `[node]
host = h
ip = 127.0.0.1
failure_domain = a
regions = a:r,b:r
service = s
server = 127.0.0.1:1
[listen]
front = 127.0.0.1:2
gate = 127.0.0.1:3
ready = 127.0.0.1:4
announce = 127.0.0.1:5
[store]
address = 127.0.0.1:6
[bounds]
grace = 6s
`
	load := func(text string) (settings.Sidecar, error) {
		path := filepath.Join(GinkgoT().TempDir(), "sidecar.ini")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return settings.LoadSidecar(path)
	}
	It("are read with their defaults", func() {
		loaded, err := load(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Bounds.Grace).To(Equal(6 * time.Second))
		Expect(loaded.RegionByDomain()).To(Equal(map[string]string{"a": "r", "b": "r"}))
	})
	DescribeTable("name the invalid key", func(old, replacement, key string) {
		_, err := load(strings.Replace(valid, old, replacement, 1))
		Expect(err).To(MatchError(ContainSubstring(key)))
	},
		Entry("unknown key", "host = h", "hots = h", "hots"),
		Entry("domain without a region", "failure_domain = a", "failure_domain = c", "failure_domain"),
		Entry("malformed regions", "regions = a:r,b:r", "regions = a-r", "regions"),
		Entry("malformed duration", "grace = 6s", "grace = soon", "grace"),
		Entry("malformed address", "front = 127.0.0.1:2", "front = somewhere", "front"),
	)
})
