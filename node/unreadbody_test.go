package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockring/hemlockring/internal/emulator"
)

// requestHead returns the head of a request with a body of the given size.
func requestHead(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", path, size)
}

// Guards against the end of the process by a caller that sends on after a refusal. What is left of the upload is more than the ingress reads, and less than net/http
// reads after that; the head of the next request arrives with its end.
func TestNextRequestAfterUnreadBodyIsNotServed(t *testing.T) {
	t.Parallel()
	const (
		refusedBytes = 384<<10 + 100 // The last read of the body takes the next head too.
		servedBytes  = 64 << 10
	)
	fleet := startFleet(t, 2, emulator.Config{})
	backend, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
		respondOK(w)
		return true
	})
	fleet.announceRaw(t, 0, address)
	body := strings.Repeat("x", refusedBytes)
	var group errgroup.Group
	group.SetLimit(8)
	for i := range 32 {
		group.Go(func() error {
			conn, err := net.Dial("tcp", fleet.layout.Instances[i%2].CallerAddress)
			if err != nil {
				return err
			}
			defer conn.Close()
			go func() {
				_, _ = io.WriteString(conn, requestHead("/nowhere", refusedBytes)+body+requestHead("/open", servedBytes))
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, body[:servedBytes])
			}()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusNotFound {
				return fmt.Errorf("status %d, %w", response.StatusCode, err)
			}
			if _, err = http.ReadResponse(reader, nil); err == nil {
				return errors.New("the next request was answered")
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Zero(t, backend.runs.Load())
}

// Guards against the rest of a slow upload that is taken for the next request: the caller pauses for longer than the ingress reads.
func TestRestOfSlowUploadIsNoRequest(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, emulator.Config{})
	backend, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
		respondOK(w)
		return true
	})
	fleet.announceRaw(t, 0, address)
	smuggled := requestHead("/open", 0)
	conn, err := net.Dial("tcp", fleet.layout.Instances[0].CallerAddress)
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, requestHead("/nowhere", len(smuggled)))
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusNotFound, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	time.Sleep(1200 * time.Millisecond)
	_, _ = io.WriteString(conn, smuggled)
	_, err = http.ReadResponse(reader, nil)
	must.Error(t, err)
	must.Zero(t, backend.runs.Load())
}
