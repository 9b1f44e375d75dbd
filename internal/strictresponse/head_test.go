package strictresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/net/http/httpguts"
)

const ok = "HTTP/1.1 200 OK\r\n"

var validHeads = []string{
	ok + "\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 204\r\n\r\n",
	"HTTP/1.1 200 \r\n\r\n",
	"HTTP/1.1 599 All good\tf\xfcnf\r\n\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 2\n\n",
	ok + "A: b\r\na: \t c d\te\xff \r\nEmpty:\r\n\r\n",
	ok + "Content-Length: 2\r\ncontent-length: 2\r\n\r\n",
	ok + "Transfer-Encoding: Chunked\r\n\r\n",
	ok + "!#$%&'*+-.^_`|~09az: x\r\n\r\n",
}

var invalidHeads = []string{
	"\r\n\r\n",
	"garbage\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/0.9 200 OK\r\n\r\n",
	"http/1.1 200 OK\r\n\r\n",
	"HTTP/1.1  200 OK\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n",
	"HTTP/1.1 099 OK\r\n\r\n",
	"HTTP/1.1 600 OK\r\n\r\n",
	"HTTP/1.1 +20 OK\r\n\r\n",
	"HTTP/1.1 2000 OK\r\n\r\n",
	"HTTP/1.1 20 OK\r\n\r\n",
	"HTTP/1.1 200 O\x00K\r\n\r\n",
	"HTTP/1.1 200 O\rK\r\n\r\n",
	ok + "Bad Name: x\r\n\r\n",
	ok + "Name : x\r\n\r\n",
	ok + " Name: x\r\n\r\n",
	ok + "Content-Length : 2\r\n\r\n",
	ok + "Content-Length: 2\r\nContent Length: 2\r\n\r\n",
	ok + "Bad\x01Name: x\r\n\r\n",
	ok + "Bad\x7fName: x\r\n\r\n",
	ok + "Bad\xe4Name: x\r\n\r\n",
	ok + "Bad(Name): x\r\n\r\n",
	ok + ": x\r\n\r\n",
	ok + "no colon\r\n\r\n",
	ok + "A: b\x00c\r\n\r\n",
	ok + "A: b\rc\r\n\r\n",
	ok + "A: b\x7f\r\n\r\n",
	ok + "A: b\r\n folded\r\n\r\n",
	ok + "A: b\r\n\tfolded: c\r\n\r\n",
	ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
	ok + "Content-Length: 2, 2\r\n\r\n",
	ok + "Content-Length: +2\r\n\r\n",
	ok + "Content-Length: -2\r\n\r\n",
	ok + "Content-Length: 0x2\r\n\r\n",
	ok + "Content-Length:\r\n\r\n",
	ok + "Content-Length: 99999999999999999999\r\n\r\n",
	ok + "Transfer-Encoding: gzip\r\n\r\n",
	ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
	ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
	ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}

func TestHeadsAreCheckedStrictly(t *testing.T) {
	for _, head := range validHeads {
		_, err := CheckHead([]byte(head))
		must.NoError(t, err, must.Sprintf("%q", head))
	}
	for _, head := range invalidHeads {
		_, err := CheckHead([]byte(head))
		must.True(t, errors.Is(err, ErrInvalid), must.Sprintf("%q", head))
		must.LessEq(t, 300, len(err.Error()))
	}
}

func TestTrailersAreCheckedStrictly(t *testing.T) {
	must.NoError(t, CheckTrailer(nil))
	must.NoError(t, CheckTrailer(http.Header{"X-Sum": {"1", "a\tb"}, "Content-Length": nil}))
	for name, value := range map[string]string{"Bad Name": "x", "": "x", "Bad\x01": "x", "A": "b\x00", "B": "c\r\nd", "Content-Length": "2", "transfer-encoding": "chunked", "Trailer": "X"} {
		must.True(t, errors.Is(CheckTrailer(http.Header{name: {value}}), ErrInvalid), must.Sprint(name))
	}
}

func TestReaderPassesInformationalHeadsAndBodies(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	var reader Reader
	for _, b := range []byte("HTTP/1.1 100 Continue\r\n\r\n" + early + ok + "A: b\r\n\r") {
		_, err := reader.Write([]byte{b})
		must.NoError(t, err)
		must.False(t, reader.Complete())
	}
	_, err := reader.Write([]byte("\nbody\r\nBad Name: x\r\n\r\n"))
	must.NoError(t, err)
	must.True(t, reader.Complete())

	_, err = (&Reader{}).Write([]byte(early + ok + "Bad Name: x\r\n\r\n"))
	must.True(t, errors.Is(err, ErrInvalid))
	_, err = (&Reader{}).Write([]byte("HTTP/1.1 103 X\r\nBad Name: x\r\n\r\n"))
	must.True(t, errors.Is(err, ErrInvalid))
	var switched Reader
	_, err = switched.Write([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n\x00"))
	must.NoError(t, err)
	must.True(t, switched.Complete())
}

func TestReaderBoundsHeads(t *testing.T) {
	long := ok + "A: " + strings.Repeat("x", 100)
	for _, head := range []string{long, long + "\r\n\r\n", strings.Repeat("x", 200)} {
		_, err := (&Reader{MaxBytes: 100}).Write([]byte(head))
		must.True(t, errors.Is(err, ErrInvalid))
	}
	_, err := (&Reader{MaxBytes: 100}).Write([]byte(ok + "\r\n" + strings.Repeat("x", 200)))
	must.NoError(t, err)
}

// What CheckHead accepts, net/http reads in the same way: the same status, valid names only, and no other end of the head. The pieces in which a head arrives change nothing.
func FuzzHead(f *testing.F) {
	for _, head := range append(validHeads, invalidHeads...) {
		f.Add([]byte(head), uint(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, split uint) {
		var whole, parts Reader
		_, wholeErr := whole.Write(data)
		at := int(split % uint(len(data)+1))
		_, partsErr := parts.Write(data[:at])
		if partsErr == nil {
			_, partsErr = parts.Write(data[at:])
		}
		must.Eq(t, wholeErr == nil, partsErr == nil)
		must.Eq(t, whole.Complete(), parts.Complete())
		end := headEnd(data, 0)
		if end < 0 {
			return
		}
		status, err := CheckHead(data[:end])
		if err != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data[:end])), nil)
		must.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		must.Eq(t, status, response.StatusCode)
		for name, values := range response.Header {
			must.True(t, httpguts.ValidHeaderFieldName(name))
			for _, value := range values {
				must.True(t, httpguts.ValidHeaderFieldValue(value))
			}
		}
	})
}
