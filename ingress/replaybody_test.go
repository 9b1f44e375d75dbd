package ingress

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// Each attempt must read the whole body from its start, wherever the previous
// attempt stopped, unless the body is too large to be buffered.
func TestReplayBodyEachAttemptReadsWholeBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 200), rapid.IntRange(maxReplayBytes-2, maxReplayBytes+2)).Draw(t, "size")
		content := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		body := newReplayBody(&http.Request{Body: io.NopCloser(bytes.NewReader(content))})
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			attempt, _ := body.open()
			read := rapid.IntRange(0, size).Draw(t, "read")
			got, err := io.ReadAll(io.LimitReader(attempt, int64(read)))
			must.NoError(t, err)
			must.Eq(t, content[:read], got, must.Sprint("the start of the body"))
			must.NoError(t, attempt.Close())
			if !body.canReplay() {
				must.Greater(t, maxReplayBytes, size)
				return
			}
		}
		last, _ := body.open()
		got, err := io.ReadAll(last)
		must.NoError(t, err)
		must.Eq(t, content, got)
	})
}

// Guards against an attempt that gets the body without its begin, because an earlier one has read on beyond the buffer.
func TestReplayBodyWithoutBeginIsNotRead(t *testing.T) {
	body := newReplayBody(&http.Request{Body: io.NopCloser(bytes.NewReader(make([]byte, maxReplayBytes+2)))})
	earlier, _ := body.open()
	_, err := io.CopyN(io.Discard, earlier, maxReplayBytes)
	must.NoError(t, err)
	must.True(t, body.canReplay())
	later, _ := body.open()
	_, err = io.ReadFull(earlier, make([]byte, 1))
	must.NoError(t, err)
	n, err := later.Read(make([]byte, 8))
	must.Zero(t, n)
	must.ErrorIs(t, err, errBodyNotBuffered)
}
