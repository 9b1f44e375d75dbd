package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/emulator"
)

// Guards against a path or query that reaches the backend server with other escapes than the caller sent.
func TestPathReachesServerAsTheCallerWroteIt(t *testing.T) {
	t.Parallel()
	fleet := startFleetWith(t, 3, func(instance int) emulator.Config {
		if instance > 0 {
			return emulator.Config{}
		}
		return emulator.Config{Slots: 8}
	})
	const target = "/orders/a|b^{c}/%7C/%2f/é?x=|&y=%41"
	for i := range 3 {
		conn, err := net.Dial("tcp", fleet.layout.Instances[i].CallerAddress)
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nhi", target, testKey)
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, target, response.Header.Get("X-Path"))
		must.NoError(t, conn.Close())
	}
}
