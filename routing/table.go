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
// one map access for each slash within the first longestPrefix bytes of the path, and as many
// again for the routes that apply to every host if none of the host's routes matches.
type Table struct {
	routes map[routeKey]*fleetconfig.Route
	// longestPrefix is the length of the longest path prefix, in bytes.
	longestPrefix int
}

// NewTable returns the table of a document's routes.
func NewTable(routes []fleetconfig.Route) *Table {
	table := &Table{routes: make(map[routeKey]*fleetconfig.Route, len(routes))}
	for i := range routes {
		route := &routes[i]
		key := routeKey{host: strings.ToLower(route.Host), prefix: strings.TrimRight(route.PathPrefix, "/")}
		table.routes[key] = route
		table.longestPrefix = max(table.longestPrefix, len(key.prefix))
	}
	return table
}

// Match returns the route of a request, or nil if there is none. The host may include a
// port. If the path can be read as that of another route, a copy of the route is returned that
// also keeps to what the other one forbids.
func (t *Table) Match(host string, path Path) *fleetconfig.Route {
	host = CanonicalHost(host)
	route := t.matchHosts(host, path)
	if route == nil || path.written == path.decoded {
		return route
	}
	other := t.matchHosts(host, Path{written: path.decoded, decoded: path.decoded})
	if other == nil || other == route {
		return route
	}
	return stricterRoute(route, other)
}

// matchHosts returns the matching route of the host or, if there is none, of every host.
func (t *Table) matchHosts(host string, path Path) *fleetconfig.Route {
	if route := t.matchPath(host, path); route != nil || host == "" {
		return route
	}
	return t.matchPath("", path)
}

// matchPath returns the host's route with the longest prefix that matches the path, or nil.
func (t *Table) matchPath(host string, path Path) *fleetconfig.Route {
	if path.written == path.decoded {
		return t.longestMatch(host, path.decoded, func(*fleetconfig.Route) bool { return true })
	}
	route := t.longestMatch(host, path.decoded, func(r *fleetconfig.Route) bool { return !r.BelowPrefix })
	asWritten := t.longestMatch(host, path.written, func(r *fleetconfig.Route) bool { return r.BelowPrefix })
	if route == nil || (asWritten != nil && len(asWritten.PathPrefix) > len(route.PathPrefix)) {
		return asWritten
	}
	return route
}

// longestMatch returns the host's route with the longest prefix that matches the path, among
// those that may match, or nil.
func (t *Table) longestMatch(host, path string, mayMatch func(*fleetconfig.Route) bool) *fleetconfig.Route {
	for prefix := path; ; {
		if len(prefix) <= t.longestPrefix {
			route := t.routes[routeKey{host: host, prefix: prefix}]
			if route != nil && (!route.BelowPrefix || len(prefix) < len(path)) && mayMatch(route) {
				return route
			}
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return nil
		}
		prefix = prefix[:slash]
	}
}

// stricterRoute returns a copy of the route that requires a key if the other route does, and
// permits no request to run twice of which the other route forbids it.
func stricterRoute(route, other *fleetconfig.Route) *fleetconfig.Route {
	stricter := *route
	stricter.OpenToAll = route.OpenToAll && other.OpenToAll
	for _, idempotency := range []fleetconfig.Idempotency{fleetconfig.IdempotentByMethod, fleetconfig.IdempotentNever} {
		if other.Idempotency == idempotency || route.Idempotency == idempotency {
			stricter.Idempotency = idempotency
		}
	}
	return &stricter
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
