// Package httpheader cleans the headers of requests and responses that pass
// through the fleet.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/hemlockring/hemlockring/pipeline"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop removes the headers that concern one connection only, those
// named by Connection among them.
func RemoveHopByHop(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// RemoveInternal removes every header that only hemlockring may set, also in
// spellings with underscores, which some servers read as hyphens.
func RemoveInternal(header http.Header) {
	for name := range header {
		if IsInternal(name) {
			delete(header, name)
		}
	}
}

// IsInternal reports whether only hemlockring may set the header.
func IsInternal(name string) bool {
	if len(name) < len(pipeline.HeaderPrefix) {
		return false
	}
	start := name[:len(pipeline.HeaderPrefix)-1]
	if !strings.EqualFold(start, pipeline.HeaderPrefix[:len(pipeline.HeaderPrefix)-1]) {
		return false
	}
	separator := name[len(pipeline.HeaderPrefix)-1]
	return separator == '-' || separator == '_'
}

// Copy adds the fields of source to target.
func Copy(target, source http.Header) {
	for name, values := range source {
		target[name] = append(target[name], values...)
	}
}

// CopyTrailer sets the trailer fields of a response whose body has been written,
// without the internal ones.
func CopyTrailer(target http.Header, trailer http.Header) {
	for name, values := range trailer {
		if IsInternal(name) {
			continue
		}
		for _, value := range values {
			target.Add(http.TrailerPrefix+name, value)
		}
	}
}
