package backendproxy

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against bytes that an upload loses, repeats or reorders on its way through the reader, whatever the sizes of reads.
func TestUploadReaderReturnsItsSource(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 3*maxUploadChunkBytes).Draw(t, "body")
		var source io.Reader = bytes.NewReader(body)
		switch rapid.IntRange(0, 2).Draw(t, "source") {
		case 0:
			source = iotest.DataErrReader(source)
		case 1:
			source = iotest.HalfReader(source)
		}
		length := int64(len(body))
		if rapid.Bool().Draw(t, "chunked") {
			length = -1
		}
		var observed bytes.Buffer
		ended := 0
		reader := newUploadReader(nil, source, length, func(data []byte, err error) {
			observed.Write(data)
			if errors.Is(err, io.EOF) {
				ended++
			}
		})
		var read bytes.Buffer
		buffer := make([]byte, rapid.IntRange(1, 2*maxUploadChunkBytes).Draw(t, "buffer"))
		_, err := io.CopyBuffer(struct{ io.Writer }{&read}, reader, buffer)
		must.NoError(t, err)
		must.True(t, bytes.Equal(body, read.Bytes()))
		must.True(t, bytes.Equal(body, observed.Bytes()))
		must.Eq(t, 1, ended)
		must.LessEq(t, maxUploadChunkBytes, cap(reader.chunk))
	})
}

// Guards against a reader that waits for a paused caller after its connection or its request has ended.
func TestPausedUploadDoesNotHoldItsReader(t *testing.T) {
	t.Parallel()
	errReset := errors.New("reset")
	source, caller := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	interrupted := newUploadReader(nil, source, -1, func([]byte, error) {})
	time.AfterFunc(time.Millisecond, func() { interrupted.interrupt(errReset) })
	_, err := interrupted.Read(make([]byte, 8))
	must.ErrorIs(t, err, errReset)

	// What the caller sends later is not lost for the fingerprint, which waits for a bounded time.
	var seen []byte
	interrupted.observe = func(data []byte, _ error) { seen = append(seen, data...) }
	go func() { _, _ = caller.Write([]byte("late")) }()
	must.ErrorIs(t, interrupted.discard(func() bool { return false }, 50*time.Millisecond), errUploadPaused)
	must.Eq(t, "late", string(seen))

	canceled := newUploadReader(ctx.Done(), source, -1, func([]byte, error) {})
	time.AfterFunc(time.Millisecond, cancel)
	_, err = canceled.Read(make([]byte, 8))
	must.ErrorIs(t, err, context.Canceled)
}
