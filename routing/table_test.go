package routing

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// matchReference returns the route that Table.Match must return. It searches all routes:
// those of the host first, then those that apply to every host, and among each of them the
// longest prefix of whole segments wins.
func matchReference(routes []fleetconfig.Route, host, path string) *fleetconfig.Route {
	for _, routeHost := range []string{host, ""} {
		var best *fleetconfig.Route
		for i := range routes {
			route := &routes[i]
			prefix := strings.TrimRight(route.PathPrefix, "/")
			fits := strings.HasPrefix(path, prefix+"/") || (path == prefix && !route.BelowPrefix)
			if route.Host == routeHost && fits && (best == nil || len(prefix) > len(strings.TrimRight(best.PathPrefix, "/"))) {
				best = route
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func TestTableMatchesLongestPrefixOfWholeSegments(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "ab", "b", "orders"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
	})
	requestPath := rapid.Custom(func(t *rapid.T) string {
		return path.Draw(t, "path") + strings.Repeat("/", rapid.IntRange(0, 2).Draw(t, "trailing slashes"))
	})
	host := rapid.SampledFrom([]string{"", "one.example", "two.example"})
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[string]bool)
		var routes []fleetconfig.Route
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			route := fleetconfig.Route{Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix"), BelowPrefix: rapid.Bool().Draw(t, "below prefix")}
			if key := route.Host + " " + route.PathPrefix; !seen[key] {
				seen[key] = true
				routes = append(routes, route)
			}
		}
		requestHost, requestPath := host.Draw(t, "request host"), requestPath.Draw(t, "request path")
		want := matchReference(routes, requestHost, requestPath)
		got := NewTable(routes).Match(requestHost, requestPath)
		must.Eq(t, want, got)
	})
}

// Guards against a resource that is no longer reachable at the path that equals the prefix of its route.
func TestPathThatEqualsPrefixMatchesUnlessExcluded(t *testing.T) {
	routes := []fleetconfig.Route{
		{ID: "all", PathPrefix: "/"},
		{ID: "orders", PathPrefix: "/orders"},
		{ID: "stock", PathPrefix: "/stock", BelowPrefix: true},
	}
	for target, route := range map[string]string{
		"/orders": "orders", "/orders/": "orders", "/orders/7": "orders", "/%6frders": "orders", "/orders%2F7": "all",
		"/stock": "all", "/stock/": "stock", "/stock/7": "stock", "/stock%2F7": "all", "/stock/a%2Fb": "stock",
	} {
		u, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		must.Eq(t, route, NewTable(routes).Match("", MatchablePath(u)).ID, must.Sprint(target))
	}
}

// Guards against lookups whose time grows with the square of the length of the path.
func TestLookupIsLimitedByLongestPrefix(t *testing.T) {
	table := NewTable([]fleetconfig.Route{{ID: "orders", PathPrefix: "/orders"}})
	path := "/orders" + strings.Repeat("/a", 1<<20)
	start := time.Now()
	must.Eq(t, "orders", table.Match("", path).ID)
	must.Less(t, time.Second, time.Since(start))
}

func TestCanonicalHost(t *testing.T) {
	must.Eq(t, "one.example", CanonicalHost("One.Example.:8080"))
	must.Eq(t, "::1", CanonicalHost("[::1]:80"))
	must.Eq(t, "", CanonicalHost(""))
}

// FuzzSafePath checks that a path that SafePath accepts contains no dot segment once it is
// unescaped. Slashes and backslashes both separate segments.
func FuzzSafePath(f *testing.F) {
	f.Add("/open/%2e%2e/orders")
	f.Add("/a/./b")
	f.Add(`/a/..%5cb`)
	f.Fuzz(func(t *testing.T, text string) {
		u, err := url.ParseRequestURI(text)
		if err != nil || !SafePath(u) {
			return
		}
		for _, segment := range strings.FieldsFunc(u.Path, func(r rune) bool { return r == '/' || r == '\\' }) {
			if segment == "." || segment == ".." {
				t.Fatalf("SafePath accepts %q, which contains a dot segment", text)
			}
		}
	})
}
