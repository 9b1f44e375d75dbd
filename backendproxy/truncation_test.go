package backendproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	uploadBytes = 600 << 10
	bodyPart    = "a part of a body"
	// wholeUpload is a value of earlyServer.readFirst.
	wholeUpload = -1
)

// upload sends a request with a body of the given size through a dispatcher, with or without a
// stated length, and returns the body of the response and the error that ended it.
func upload(t *testing.T, d *dispatcher, address string, size int, idempotent, chunked bool) (string, error) {
	now := clock.Now()
	request := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, size)))
	if chunked {
		request.ContentLength = -1
	}
	exchange := &pipeline.Exchange{
		RequestID:  "r",
		Request:    request,
		View:       fleetconfig.NewView(fleetconfig.NewDocument()),
		Deadline:   now.Add(time.Minute),
		Idempotent: idempotent,
	}
	response, _, err := d.dispatch(t.Context(), exchange, address, now.Add(time.Minute))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// earlyServer is a backend server that answers in the course of an upload and then ends the
// connection.
type earlyServer struct {
	// answer is sent once readFirst bytes of the upload have been read, or all with wholeUpload.
	answer    string
	readFirst int64
	// reset resets the connection instead of closing it.
	reset bool
}

func (s earlyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if s.readFirst == wholeUpload {
		_, _ = io.Copy(io.Discard, request.Body)
	} else {
		_, _ = io.CopyN(io.Discard, request.Body, s.readFirst)
	}
	_, _ = io.WriteString(conn, s.answer)
	if s.reset {
		_ = conn.SetLinger(0)
	}
}

// Guards against a part of a body that passes for a complete one, because the server reset the connection while the request was being written.
func TestBodyWithoutLengthIsTruncatedByResetDuringUpload(t *testing.T) {
	const uploads = 400
	d := newDispatcher(DefaultDialect{})
	var complete, partial atomic.Int32
	var group errgroup.Group
	group.SetLimit(8)
	for i := range uploads {
		server := earlyServer{answer: fmt.Sprintf("HTTP/1.%d 200 OK\r\n\r\n%s", i/4%2, bodyPart), readFirst: int64(i % 64 << 10), reset: true}
		address := listenRaw(t, server.serve).Addr().String()
		group.Go(func() error {
			switch body, err := upload(t, d, address, uploadBytes, i%2 == 0, i/2%2 == 0); {
			case err == nil:
				complete.Add(1)
			case body != "":
				partial.Add(1)
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Zero(t, complete.Load())
	t.Logf("%d of %d ended after a part of the body", partial.Load(), uploads)
}

// Guards against an end of the stream where the connection was reset: the write that fails takes the error of the reset from the socket.
func TestReadAfterFailedWriteIsNotEndOfStream(t *testing.T) {
	reset := make(chan struct{})
	address := listenRaw(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 4))
		_ = conn.SetLinger(0)
		_ = conn.Close()
		close(reset)
	}).Addr().String()
	underlying, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = underlying.Close() }()
	conn := &trackedConn{Conn: underlying}
	conn.beginRequest(time.Now().Add(time.Hour))
	_, err = conn.Write([]byte("head"))
	must.NoError(t, err)
	<-reset
	for err == nil {
		_, err = conn.Write([]byte("body"))
	}
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, errConnectionLost)
}

func TestEndOfConnectionEndsBodyOnlyAfterWholeUpload(t *testing.T) {
	const (
		untilClose = "HTTP/1.1 200 OK\r\n\r\n" + bodyPart
		oldVersion = "HTTP/1.0 200 OK\r\n\r\n" + bodyPart
		keepAlive  = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + bodyPart
		stated     = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + bodyPart
		tooShort   = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + bodyPart
		inChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + bodyPart + "\r\n0\r\n\r\n"
		noLast     = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + bodyPart + "\r\n"
		noTrailer  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + bodyPart + "\r\n0\r\n"
	)
	cases := []struct {
		name     string
		server   earlyServer
		complete bool
	}{
		{"until close, after upload", earlyServer{answer: untilClose, readFirst: wholeUpload}, true},
		{"until close, 1.0, after upload", earlyServer{answer: oldVersion, readFirst: wholeUpload}, true},
		{"until close, 1.0 keep-alive, after upload", earlyServer{answer: keepAlive, readFirst: wholeUpload}, true},
		{"until close, reset after upload", earlyServer{answer: untilClose, readFirst: wholeUpload, reset: true}, false},
		{"until close, closed before upload", earlyServer{answer: untilClose}, false},
		{"until close, closed during upload", earlyServer{answer: untilClose, readFirst: uploadBytes / 2}, false},
		{"until close, 1.0, closed during upload", earlyServer{answer: oldVersion, readFirst: uploadBytes / 2}, false},
		{"stated length, after upload", earlyServer{answer: stated, readFirst: wholeUpload}, true},
		{"stated length too short, after upload", earlyServer{answer: tooShort, readFirst: wholeUpload}, false},
		{"stated length too short, during upload", earlyServer{answer: tooShort, readFirst: uploadBytes / 2, reset: true}, false},
		{"chunked, after upload", earlyServer{answer: inChunks, readFirst: wholeUpload}, true},
		{"chunked without the last chunk", earlyServer{answer: noLast, readFirst: wholeUpload}, false},
		{"chunked without the last chunk, during upload", earlyServer{answer: noLast, readFirst: uploadBytes / 2, reset: true}, false},
		{"chunked without the end of the trailer", earlyServer{answer: noTrailer, readFirst: wholeUpload}, false},
	}
	for _, c := range cases {
		address := listenRaw(t, c.server.serve).Addr().String()
		for _, chunked := range []bool{false, true} {
			body, err := upload(t, newDispatcher(DefaultDialect{}), address, uploadBytes, false, chunked)
			must.Eq(t, c.complete, err == nil, must.Sprint(c.name, chunked, err))
			if c.complete {
				must.Eq(t, bodyPart, body)
			}
		}
	}
	// A request without a body, and a short one.
	for _, size := range []int{0, 4} {
		address := listenRaw(t, earlyServer{answer: untilClose, readFirst: wholeUpload}.serve).Addr().String()
		body, err := upload(t, newDispatcher(DefaultDialect{}), address, size, true, size > 0)
		must.NoError(t, err)
		must.Eq(t, bodyPart, body)
	}
}
