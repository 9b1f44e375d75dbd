// Package strictresponse checks the heads and trailers of HTTP/1 responses of backend
// servers by RFC 9110 and RFC 9112, where net/http is laxer: it passes on field names with
// a blank, joins folded lines, prefers Transfer-Encoding to Content-Length and ignores it in
// HTTP/1.0, and takes any three digits for a status. A server in trouble may send such
// heads; their body can't be told for sure, so they are no answer.
//
// The functions are pure. Reader finds the heads in the bytes that arrive on a connection.
package strictresponse
