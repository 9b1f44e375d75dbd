// Package httpheader filters the headers and copies the bodies of requests and responses
// that the fleet forwards.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/hemlockring/hemlockring/pipeline"
)

// hopByHopHeaders lists the headers that apply to a single connection and must not be
// forwarded: those of RFC 9110, section 7.6.1, and of its predecessor RFC 2616, section
// 13.5.1, which adds Proxy-Authenticate, Proxy-Authorization and Trailer.
var hopByHopHeaders = []string{
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

// RemoveHopByHop removes the hop-by-hop headers, including those that Connection names.
func RemoveHopByHop(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// RemoveInternal removes every header that only hemlockring may set. It also removes
// spellings with an underscore in place of the hyphen that ends the prefix, because some
// servers treat underscores as hyphens.
func RemoveInternal(header http.Header) {
	for name := range header {
		if IsInternal(name) {
			delete(header, name)
		}
	}
}

// IsInternal reports whether only hemlockring may set the header. A name is internal if it
// begins with pipeline.HeaderPrefix, in any letter case and with a hyphen or an underscore
// as its last character.
func IsInternal(name string) bool {
	if len(name) < len(pipeline.HeaderPrefix) {
		return false
	}
	prefix := name[:len(pipeline.HeaderPrefix)-1]
	if !strings.EqualFold(prefix, pipeline.HeaderPrefix[:len(pipeline.HeaderPrefix)-1]) {
		return false
	}
	separator := name[len(pipeline.HeaderPrefix)-1]
	return separator == '-' || separator == '_'
}

// Copy appends the values of all headers in source to those in target.
func Copy(target, source http.Header) {
	for name, values := range source {
		target[name] = append(target[name], values...)
	}
}

// CopyTrailer adds the trailer fields to the header of a response whose body has been
// written. It skips internal fields.
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
