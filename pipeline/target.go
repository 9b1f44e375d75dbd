package pipeline

import (
	"net/url"
	"strings"
)

// TargetOf returns a URL without scheme and host whose path and query are written as the caller
// wrote them in incoming, also characters that should have been escaped. Only in a path that
// begins with two slashes these are escaped, because net/url would take it for an authority.
func TargetOf(incoming *url.URL) *url.URL {
	target := &url.URL{
		Path:       incoming.Path,
		RawPath:    incoming.RawPath,
		RawQuery:   incoming.RawQuery,
		ForceQuery: incoming.ForceQuery,
	}
	if raw := incoming.RawPath; raw != "" && raw != incoming.EscapedPath() && !strings.HasPrefix(raw, "//") {
		target.Opaque = raw
	}
	return target
}
