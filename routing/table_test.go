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
		got := NewTable(routes).Match(requestHost, PathOf(&url.URL{Path: requestPath}))
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
		"/stock": "all", "/stock/": "stock", "/stock/7": "stock", "/stock%2F7": "all", "/stock/a%2Fb": "stock", "/stock/%73tock": "stock",
		"/%73tock/7": "all", "/st%6fck/": "all", "/%6frders/%37": "orders",
	} {
		u, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		must.Eq(t, route, NewTable(routes).Match("", PathOf(u)).ID, must.Sprint(target))
	}
}

// Guards against orders that run twice, or without a key, because an escaped letter hides the route that forbids it.
func TestPathOfTwoRoutesKeepsToTheStricterOne(t *testing.T) {
	table := NewTable([]fleetconfig.Route{
		{ID: "shop", PathPrefix: "/shop", BelowPrefix: true, Idempotency: fleetconfig.IdempotentAlways, OpenToAll: true},
		{ID: "orders", PathPrefix: "/shop/orders", BelowPrefix: true, Idempotency: fleetconfig.IdempotentNever},
		{ID: "reports", PathPrefix: "/shop/reports", BelowPrefix: true, Idempotency: fleetconfig.IdempotentByMethod, OpenToAll: true},
	})
	for target, want := range map[string]fleetconfig.Route{
		"/shop/7":                {ID: "shop", Idempotency: fleetconfig.IdempotentAlways, OpenToAll: true},
		"/shop/%37":              {ID: "shop", Idempotency: fleetconfig.IdempotentAlways, OpenToAll: true},
		"/shop/%6Frders/7":       {ID: "shop", Idempotency: fleetconfig.IdempotentNever},
		"/shop/r%65ports/7":      {ID: "shop", Idempotency: fleetconfig.IdempotentByMethod, OpenToAll: true},
		"/shop/orders/%6F":       {ID: "orders", Idempotency: fleetconfig.IdempotentNever},
		"/shop/orders/caf%C3%A9": {ID: "orders", Idempotency: fleetconfig.IdempotentNever},
	} {
		u, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		got := table.Match("", PathOf(u))
		must.Eq(t, want, fleetconfig.Route{ID: got.ID, Idempotency: got.Idempotency, OpenToAll: got.OpenToAll}, must.Sprint(target))
	}
}

// A prefix with characters that need an escape matches paths with and without the escapes.
func TestEscapesThatAreNeededDoNotHideRoute(t *testing.T) {
	table := NewTable([]fleetconfig.Route{{ID: "size", PathPrefix: "/größe", BelowPrefix: true}})
	for _, target := range []string{"/größe/7", "/gr%C3%B6%c3%9fe/7", "/gr%C3%B6%C3%9Fe/%37"} {
		u, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		must.NotNil(t, table.Match("", PathOf(u)), must.Sprint(target))
	}
}

// A path that net/url writes in the same way is not unescaped at all, so both must agree.
func TestNeededEscapesAreThoseOfURLs(t *testing.T) {
	for char := range 256 {
		path := "/" + string([]byte{byte(char)})
		must.Eq(t, (&url.URL{Path: path}).EscapedPath() != path, needsEscape(byte(char)), must.Sprintf("%q", path))
	}
}

// Guards against lookups whose time grows with the square of the length of the path.
func TestLookupIsLimitedByLongestPrefix(t *testing.T) {
	table := NewTable([]fleetconfig.Route{{ID: "orders", PathPrefix: "/orders"}})
	path := "/orders" + strings.Repeat("/a", 1<<20)
	start := time.Now()
	must.Eq(t, "orders", table.Match("", PathOf(&url.URL{Path: path})).ID)
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
