package routing

import (
	"net/url"
	"strings"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// routeKey identifies a route in the table.
type routeKey struct {
	host   string
	prefix string
}

// Table finds routes. It is immutable and safe for concurrent use. A lookup takes at most
// one map access for each segment of the path and one for the empty prefix. If none of the
// host's routes matches, it takes at most as many again for the routes that apply to every
// host.
type Table struct {
	routes map[routeKey]*fleetconfig.Route
}

// NewTable returns the table of a document's routes.
func NewTable(routes []fleetconfig.Route) *Table {
	table := &Table{routes: make(map[routeKey]*fleetconfig.Route, len(routes))}
	for i := range routes {
		route := &routes[i]
		key := routeKey{host: strings.ToLower(route.Host), prefix: trimTrailingSlashes(route.PathPrefix)}
		table.routes[key] = route
	}
	return table
}

// Match returns the route of a request, or nil if there is none. The host may include a
// port.
func (t *Table) Match(host, path string) *fleetconfig.Route {
	host = CanonicalHost(host)
	if route := t.longestPrefix(host, path); route != nil || host == "" {
		return route
	}
	return t.longestPrefix("", path)
}

// longestPrefix returns the host's route with the longest prefix of path, or nil.
func (t *Table) longestPrefix(host, path string) *fleetconfig.Route {
	prefix := trimTrailingSlashes(path)
	for {
		if route := t.routes[routeKey{host: host, prefix: prefix}]; route != nil {
			return route
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return nil
		}
		prefix = prefix[:slash]
	}
}

// trimTrailingSlashes removes trailing slashes, so that "/" becomes the empty prefix.
func trimTrailingSlashes(path string) string {
	return strings.TrimRight(path, "/")
}

// CanonicalHost removes the port, the brackets of an IPv6 address and a trailing dot, and
// converts the host to lower case.
func CanonicalHost(host string) string {
	if strings.HasPrefix(host, "[") {
		if end := strings.IndexByte(host, ']'); end > 0 {
			host = host[1:end]
		}
	} else if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// SafePath reports whether every server interprets the path in the same way: it starts with
// a slash and contains no dot segments, backslashes or control characters, neither plain
// nor escaped. With any other path, a caller could get past the route check: the request
// would be matched with one route here, and its path interpreted as that of another route by
// the backend server.
func SafePath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") {
		return false
	}
	for _, segment := range strings.Split(u.Path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return !strings.ContainsFunc(u.Path, func(r rune) bool { return r == '\\' || r < ' ' || r == 0x7f })
}
