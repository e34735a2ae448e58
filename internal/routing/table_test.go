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

func testTable(version Version, routes ...Route) (*Table, error) {
	limits := Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	services := []Service{{Name: "a", HealthPath: "/", MaxConnections: 1}, {Name: "b", HealthPath: "/", MaxConnections: 1}}
	return NewTable(version, routes, services, limits)
}

func testRoute(prefix string, destinations ...Destination) Route {
	return Route{Name: prefix, Host: "h", Prefix: prefix, Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Destinations: destinations}
}

// TestLongestPrefix guards against matching a shorter prefix than the longest one, for
// any set of prefixes.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			route := testRoute(drawPath(t, 3), Destination{"a", 1})
			route.Name = fmt.Sprint(i)
			routes = append(routes, route)
		}
		table, err := testTable(1, routes...)
		if err != nil {
			t.Fatal(err)
		}
		path := drawPath(t, 4) + "x"
		longest := 0
		for _, route := range routes {
			if strings.HasPrefix(path, route.Prefix) {
				longest = max(longest, len(route.Prefix))
			}
		}
		matched, ok := table.Match("h", path)
		if ok != (longest > 0) || (ok && len(matched.Prefix) != longest) {
			t.Fatalf("path %s: matched %v (%v), want the prefix of %d bytes", path, matched, ok, longest)
		}
		if _, ok := table.Match("other", path); ok {
			t.Fatalf("path %s matches a route of another host", path)
		}
	})
}

func drawPath(t *rapid.T, maxDepth int) string {
	path := "/"
	for range rapid.IntRange(0, maxDepth).Draw(t, "depth") {
		path += rapid.SampledFrom([]string{"a/", "b/"}).Draw(t, "part")
	}
	return path
}

// TestVersionsOnlyGrow guards against replacing the table in force by an older one.
func TestVersionsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := &Holder{}
		newest := Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "tables") {
			version := Version(rapid.IntRange(1, 20).Draw(t, "version"))
			table, err := testTable(version)
			if err != nil {
				t.Fatal(err)
			}
			if published := holder.Publish(table); published != (version > newest) {
				t.Fatalf("publishing version %d after %d returned %v", version, newest, published)
			}
			newest = max(newest, version)
			if holder.Version() != newest {
				t.Fatalf("version %d in force, want %d", holder.Version(), newest)
			}
		}
	})
}

// TestSplitsAreExact guards against request shares that drift from the weights.
func TestSplitsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.IntRange(0, 100).Draw(t, "a"), rapid.IntRange(1, 100).Draw(t, "b")
		route := testRoute("/p/", Destination{"a", a}, Destination{"b", b})
		splitter := NewSplitter()
		offset := rapid.Uint64().Draw(t, "offset")
		got, n := 0, rapid.IntRange(1, 400).Draw(t, "requests")
		for range n {
			if splitter.Next(&route, offset) == "a" {
				got++
			}
		}
		want := float64(n*a) / float64(a+b)
		if math.Abs(float64(got)-want) > 2 {
			t.Fatalf("service a got %d of %d requests with weights %d and %d, want %.1f", got, n, a, b, want)
		}
	})
}

// TestInvalidDestinationsAreRejected guards against a route to a service that is not
// in the table, and against one whose destinations all have weight 0.
func TestInvalidDestinationsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := testTable(1, testRoute("/p/", Destination{"c", 1}))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"c"`)))
	_, err = testTable(1, testRoute("/p/", Destination{"a", 0}))
	g.Expect(err).To(gomega.HaveOccurred())
}
