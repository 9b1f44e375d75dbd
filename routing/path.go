package routing

import (
	"encoding/hex"
	"net/url"
	"strings"
)

// Path is the path of a request in the forms that Table.Match compares with prefixes. Escaped
// slashes stay escaped in both, since they separate no segments.
type Path struct {
	// decoded is the path without its other escapes.
	decoded string
	// written is the path in which the escapes of characters that need none are kept too.
	written string
}

// PathOf returns the path of a URL that was parsed from a request line.
func PathOf(u *url.URL) Path {
	if u.RawPath == "" {
		// The path is written as net/url writes it.
		return Path{decoded: u.Path, written: u.Path}
	}
	return Path{
		decoded: unescape(u.RawPath, func(char byte) bool { return char != '/' }),
		written: unescape(u.RawPath, needsEscape),
	}
}

// needsEscape reports whether net/url escapes the character in a path.
func needsEscape(char byte) bool {
	return char <= ' ' || char >= 0x7f || strings.IndexByte("!\"#%'()*<>?[\\]^`{|}", char) >= 0
}

// unescape replaces the escapes of the characters that replace accepts. Other escapes are kept,
// in upper case. No path prefix contains a percent sign.
func unescape(path string, replace func(byte) bool) string {
	var result strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' || i+2 >= len(path) {
			result.WriteByte(path[i])
			continue
		}
		if char, err := hex.DecodeString(path[i+1 : i+3]); err == nil && replace(char[0]) {
			result.WriteByte(char[0])
		} else {
			result.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}
	return result.String()
}
