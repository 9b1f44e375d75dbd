package backendproxy

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// discardConn takes every byte.
type discardConn struct {
	net.Conn
	written int
}

func (c *discardConn) Write(data []byte) (int, error) {
	c.written += len(data)
	return len(data), nil
}

// The first byte of a request leaves before its limit or not at all, and a sealed
// connection tells whether one may have left.
func TestATrackedConnTellsWhetherAByteMayHaveLeft(t *testing.T) {
	under := &discardConn{}
	conn := &trackedConn{Conn: under}

	conn.begin(time.Now().Add(time.Hour))
	_, err := conn.Write([]byte("head"))
	must.NoError(t, err)

	conn.begin(time.Now().Add(-time.Millisecond))
	_, err = conn.Write([]byte("late"))
	must.True(t, errors.Is(err, errTooLate))
	must.Eq(t, 4, under.written)
	must.False(t, conn.seal())
	_, err = conn.Write([]byte("sealed"))
	must.ErrorIs(t, err, net.ErrClosed)
	must.Eq(t, 4, under.written)

	other := &trackedConn{Conn: under}
	other.begin(time.Now().Add(time.Hour))
	_, err = other.Write([]byte("x"))
	must.NoError(t, err)
	must.True(t, other.seal())
}

func TestReadingsAndLoadsSurviveTheirHeaders(t *testing.T) {
	load, ok := ParseLoad(Load{Running: 3, Queued: 2, Slots: 7, WeightPercent: 40}.String())
	must.True(t, ok)
	must.Eq(t, Load{Running: 3, Queued: 2, Slots: 7, WeightPercent: 40}, load)
	_, ok = ParseLoad("forged")
	must.False(t, ok)
	_, ok = ParseClockReading("1.zz!")
	must.False(t, ok)
}
