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
// port. The path is that of MatchablePath.
func (t *Table) Match(host, path string) *fleetconfig.Route {
	host = CanonicalHost(host)
	if route := t.matchPath(host, path); route != nil || host == "" {
		return route
	}
	return t.matchPath("", path)
}

// matchPath returns the host's route with the longest prefix that matches the path, or nil.
func (t *Table) matchPath(host, path string) *fleetconfig.Route {
	for prefix := path; ; {
		if len(prefix) <= t.longestPrefix {
			route := t.routes[routeKey{host: host, prefix: prefix}]
			if route != nil && (!route.BelowPrefix || len(prefix) < len(path)) {
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

// MatchablePath returns the path of a URL in the form that Table.Match expects: decoded, but
// with escaped slashes, which separate no segments.
func MatchablePath(u *url.URL) string {
	if u.RawPath == "" {
		// The path contains no escaped slash.
		return u.Path
	}
	segments := strings.Split(u.RawPath, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			// URLs from callers have been decoded once, so they contain no invalid escapes.
			return u.Path
		}
		segments[i] = strings.ReplaceAll(decoded, "/", escapedSlash)
	}
	return strings.Join(segments, "/")
}

// escapedSlash is a slash within a segment. No path prefix contains a percent sign.
const escapedSlash = "%2F"

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
