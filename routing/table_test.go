package routing

import (
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// matchReference finds the route by the definition of a match, without the table.
func matchReference(routes []fleetconfig.Route, host, path string) *fleetconfig.Route {
	for _, wanted := range []string{host, ""} {
		var best *fleetconfig.Route
		for i := range routes {
			route := &routes[i]
			prefix := strings.TrimRight(route.PathPrefix, "/")
			trimmed := strings.TrimRight(path, "/")
			fits := trimmed == prefix || strings.HasPrefix(trimmed, prefix+"/")
			if route.Host == wanted && fits && (best == nil || len(prefix) > len(strings.TrimRight(best.PathPrefix, "/"))) {
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
	host := rapid.SampledFrom([]string{"", "one.example", "two.example"})
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[string]bool)
		var routes []fleetconfig.Route
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			route := fleetconfig.Route{Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix")}
			if key := route.Host + " " + route.PathPrefix; !seen[key] {
				seen[key] = true
				routes = append(routes, route)
			}
		}
		requestHost, requestPath := host.Draw(t, "request host"), path.Draw(t, "request path")
		want := matchReference(routes, requestHost, requestPath)
		got := NewTable(routes).Match(requestHost, requestPath)
		must.Eq(t, want, got)
	})
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
