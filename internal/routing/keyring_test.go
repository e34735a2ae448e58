package routing

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func keyedTable(workspaces []KeyedWorkspace) (*Table, error) {
	limits := Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	return NewKeyedTable(1, nil, nil, limits, workspaces)
}

// TestKeysFindTheirWorkspace guards against a key that finds another workspace than the
// one that holds it, or finds one although none holds it.
func TestKeysFindTheirWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,12}`), 0, 20, rapid.ID[string]).Draw(t, "keys")
		count := rapid.IntRange(1, 5).Draw(t, "workspaces")
		workspaces := make([]KeyedWorkspace, count)
		for i := range workspaces {
			workspaces[i] = KeyedWorkspace{Workspace: Workspace{Name: fmt.Sprint("w", i)}, Keys: []string{}}
		}
		holder := make(map[string]string)
		for _, key := range keys {
			i := rapid.IntRange(0, count-1).Draw(t, "holder")
			workspaces[i].Keys = append(workspaces[i].Keys, key)
			holder[key] = workspaces[i].Name
		}
		table, err := keyedTable(workspaces)
		if err != nil {
			t.Fatal(err)
		}
		for _, key := range append(keys, rapid.StringMatching(`[a-z0-9]{0,12}`).Draw(t, "other")) {
			workspace, found := table.Workspace(key)
			if found != (holder[key] != "") || (found && workspace.Name != holder[key]) {
				t.Fatalf("key %q finds %v, want %q", key, workspace, holder[key])
			}
		}
	})
}

// TestInvalidWorkspacesAreRejected guards against workspaces that are put in force in part
// or with a key of two holders, and against an error that shows a key.
func TestInvalidWorkspacesAreRejected(t *testing.T) {
	negative := -1
	many := make([]KeyedWorkspace, maxWorkspaces+1)
	for i := range many {
		many[i] = KeyedWorkspace{Workspace: Workspace{Name: fmt.Sprint(i)}, Keys: []string{}}
	}
	const key = "secret-key"
	for name, workspaces := range map[string][]KeyedWorkspace{
		"no name":           {{Keys: []string{key}}},
		"name of two lines": {{Workspace: Workspace{Name: "a\r\nb"}, Keys: []string{key}}},
		"same name":         {{Workspace: Workspace{Name: "a"}, Keys: []string{key}}, {Workspace: Workspace{Name: "a"}, Keys: []string{}}},
		"no list of keys":   {{Workspace: Workspace{Name: "a"}}},
		"empty key":         {{Workspace: Workspace{Name: "a"}, Keys: []string{key, ""}}},
		"long key":          {{Workspace: Workspace{Name: "a"}, Keys: []string{strings.Repeat(key, 64<<10/len(key))}}},
		"shared key":        {{Workspace: Workspace{Name: "a"}, Keys: []string{key}}, {Workspace: Workspace{Name: "b"}, Keys: []string{"x", key}}},
		"negative priority": {{Workspace: Workspace{Name: "a", Priority: &negative}, Keys: []string{key}}},
		"negative rate":     {{Workspace: Workspace{Name: "a", RatePerSecond: -1}, Keys: []string{key}}},
		"rate is no number": {{Workspace: Workspace{Name: "a", RatePerSecond: math.NaN()}, Keys: []string{key}}},
		"infinite burst":    {{Workspace: Workspace{Name: "a", RatePerSecond: 1, Burst: math.Inf(1)}, Keys: []string{key}}},
		"too many":          many,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table, err := keyedTable(workspaces)
			g.Expect(table).To(gomega.BeNil())
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring(key))
		})
	}
}

// TestTablesDoNotHoldKeys guards against a dump of a table that shows a key.
func TestTablesDoNotHoldKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	table, err := keyedTable([]KeyedWorkspace{{Workspace: Workspace{Name: "a"}, Keys: []string{"secret-key"}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fmt.Sprintf("%+v %#v %+v", table, table, table.keyring)).NotTo(gomega.ContainSubstring("secret-key"))
}

// TestLookupAllocatesNothing guards against an allocation for each request.
func TestLookupAllocatesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table, err := keyedTable([]KeyedWorkspace{{Workspace: Workspace{Name: "a"}, Keys: []string{"secret-key"}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(testing.AllocsPerRun(100, func() { table.Workspace("secret-key") })).To(gomega.BeZero())
}

func BenchmarkWorkspace(b *testing.B) {
	for _, count := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			workspaces := make([]KeyedWorkspace, count)
			for i := range workspaces {
				workspaces[i] = KeyedWorkspace{Workspace: Workspace{Name: fmt.Sprint(i)}, Keys: []string{fmt.Sprintf("key-of-workspace-%08d", i)}}
			}
			table, err := keyedTable(workspaces)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := range b.N {
				if _, found := table.Workspace(workspaces[i%count].Keys[0]); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}
