package strictresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid marks the errors of this package.
var ErrInvalid = errors.New("the response is not valid HTTP/1")

// Range of status codes by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// maxShownBytes limits how much of a response an error quotes.
const maxShownBytes = 64

func invalid(what string, text []byte) error {
	return errors.Mark(errors.Newf("%s: %q", what, text[:min(len(text), maxShownBytes)]), ErrInvalid)
}

// CheckHead returns the status of the head of a response: the status line and the fields up
// to and with the empty line. Lines may end without CR. The error is marked with ErrInvalid.
func CheckHead(head []byte) (status int, err error) {
	line, rest := cutLine(head)
	status, oldVersion, err := checkStatusLine(line)
	if err != nil {
		return 0, err
	}
	var framing framing
	for {
		if line, rest = cutLine(rest); len(line) == 0 {
			return status, framing.check(oldVersion)
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			return 0, invalid("header line without a colon", line)
		}
		if err := checkField(string(name), string(value)); err != nil {
			return 0, err
		}
		if err := framing.add(string(name), strings.Trim(string(value), " \t")); err != nil {
			return 0, err
		}
	}
}

// cutLine returns the first line of data without its end, and what follows.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine returns the status, and whether the version is HTTP/1.0. The reason may be
// missing together with the blank before it, as some servers send it.
func checkStatusLine(line []byte) (status int, oldVersion bool, err error) {
	version, rest, _ := strings.Cut(string(line), " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, false, invalid("version of a status line", line)
	}
	digits, reason, _ := strings.Cut(rest, " ")
	if len(digits) != 3 || !isDecimal(digits) {
		return 0, false, invalid("status", line)
	}
	status, err = strconv.Atoi(digits)
	if err != nil || status < minStatus || status > maxStatus || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, false, invalid("status line", line)
	}
	return status, version == "HTTP/1.0", nil
}

// checkField checks one field of a head or trailer. A folded line has a name that begins with
// a blank.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return invalid("field name", []byte(name))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return invalid("value of a field", []byte(name)) // Values may be confidential.
	}
	return nil
}

// framing is what a head says about the end of the body.
type framing struct {
	length  string
	chunked bool
}

func (f *framing) add(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if _, err := strconv.ParseInt(value, 10, 64); err != nil || !isDecimal(value) {
			return invalid("Content-Length", []byte(value))
		}
		if f.length != "" && f.length != value {
			return invalid("a second Content-Length", []byte(value))
		}
		f.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return invalid("Transfer-Encoding", []byte(value))
		}
		f.chunked = true
	}
	return nil
}

func (f *framing) check(oldVersion bool) error {
	if f.chunked && (f.length != "" || oldVersion) {
		return invalid("Transfer-Encoding in HTTP/1.0 or with a Content-Length", []byte(f.length))
	}
	return nil
}

func isDecimal(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// forbiddenTrailers are fields that say where the message ends. A receiver that adds the
// trailer to the head would be misled by them (RFC 9110, section 6.5.1).
var forbiddenTrailers = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// CheckTrailer checks the trailer fields of a response whose body has been read. The error is
// marked with ErrInvalid.
func CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
		for _, forbidden := range forbiddenTrailers {
			if len(values) > 0 && strings.EqualFold(name, forbidden) {
				return invalid("trailer field", []byte(name))
			}
		}
	}
	return nil
}
