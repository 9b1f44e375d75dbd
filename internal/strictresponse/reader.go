package strictresponse

import "bytes"

// Reader finds and checks the heads of the responses to one request in the bytes that arrive
// for it: those of informational responses and that of the final one. The zero value has
// received nothing. It is not safe for concurrent use.
type Reader struct {
	// MaxBytes bounds the size of a head. Zero means that it is not bounded.
	MaxBytes int
	received []byte
	complete bool
}

// Write adds received bytes. After the final head it ignores them. The error is marked with
// ErrInvalid. The bytes that end an invalid head must not be parsed.
func (r *Reader) Write(data []byte) (int, error) {
	if r.complete {
		return len(data), nil
	}
	searched := max(0, len(r.received)-len("\n\r"))
	r.received = append(r.received, data...)
	for {
		end := headEnd(r.received, searched)
		if r.MaxBytes > 0 && (end > r.MaxBytes || end < 0 && len(r.received) > r.MaxBytes) {
			return 0, invalid("head that is too long", r.received)
		}
		if end < 0 {
			return len(data), nil
		}
		status, err := CheckHead(r.received[:end])
		if err != nil {
			return 0, err
		}
		if !isInformational(status) {
			r.complete, r.received = true, nil
			return len(data), nil
		}
		r.received, searched = r.received[end:], 0
	}
}

// Complete reports whether the final head has been received.
func (r *Reader) Complete() bool { return r.complete }

// isInformational reports whether another response to the request follows. After 101, bytes
// of another protocol follow.
func isInformational(status int) bool { return status < 200 && status != 101 }

// headEnd returns the length of the head at the begin of data, or -1 if its end is missing. The
// empty line that ends it does not begin before the offset searched.
func headEnd(data []byte, searched int) int {
	for at := searched; at < len(data); at++ {
		newline := bytes.IndexByte(data[at:], '\n')
		if newline < 0 {
			return -1
		}
		at += newline
		rest := data[at+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + len("\n\r\n")
		}
	}
	return -1
}
