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

// Table finds routes. It is immutable and safe for concurrent use. A lookup
// takes one map access for each segment of the path.
type Table struct {
	routes map[routeKey]*fleetconfig.Route
}

// NewTable builds the table of a document's routes.
func NewTable(routes []fleetconfig.Route) *Table {
	table := &Table{routes: make(map[routeKey]*fleetconfig.Route, len(routes))}
	for i := range routes {
		route := &routes[i]
		key := routeKey{host: strings.ToLower(route.Host), prefix: trimPrefix(route.PathPrefix)}
		table.routes[key] = route
	}
	return table
}

// Match returns the route of a request, or nil when there is none. The host may
// carry a port.
func (t *Table) Match(host, path string) *fleetconfig.Route {
	host = CanonicalHost(host)
	if route := t.longest(host, path); route != nil || host == "" {
		return route
	}
	return t.longest("", path)
}

func (t *Table) longest(host, path string) *fleetconfig.Route {
	prefix := trimPrefix(path)
	for {
		if route := t.routes[routeKey{host: host, prefix: prefix}]; route != nil {
			return route
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil
		}
		prefix = prefix[:cut]
	}
}

// trimPrefix drops the slashes at the end, so that "/" is the empty prefix.
func trimPrefix(path string) string {
	return strings.TrimRight(path, "/")
}

// CanonicalHost drops the port and a final dot and lowers the case.
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

// SafePath reports whether the path means the same to every server: it starts
// with a slash and has no dot segments, backslashes or control characters, plain
// or escaped. Other paths could pass for another route than the one that a
// backend server sees.
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
