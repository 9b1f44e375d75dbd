package configsync

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/transport"
)

// barrierLog is a log whose read barrier fails as a test says.
type barrierLog struct {
	fakeLog
	barrier error
}

func (l *barrierLog) ReadBarrier(context.Context) error { return l.barrier }

// sourceCaller answers calls for the text as the leader would.
type sourceCaller struct {
	transport.Caller
	reply *sourceReply
	err   error
	asked []string
}

func (c *sourceCaller) Call(_ context.Context, address, path string, _, reply any) error {
	c.asked = append(c.asked, address+path)
	if c.err == nil {
		*reply.(*sourceReply) = *c.reply
	}
	return c.err
}

func newTestReader(barrier error, caller *sourceCaller) *SourceReader {
	service := &Service{config: Config{Replica: NewReplica(), Log: &barrierLog{barrier: barrier}}}
	return NewSourceReader(service, caller, http.NewServeMux())
}

// The text is read behind a barrier of the leader, here or there, and never from an
// instance that is not certain to lead.
func TestSourceReadAtLeader(t *testing.T) {
	ctx := t.Context()
	here := &sourceCaller{}
	_, err := newTestReader(nil, here).Source(ctx)
	must.NoError(t, err)
	must.SliceEmpty(t, here.asked)

	elsewhere := &control.NotLeaderError{Address: "192.0.2.1:7000"}
	there := &sourceCaller{reply: &sourceReply{Source: []byte("text")}}
	source, err := newTestReader(elsewhere, there).Source(ctx)
	must.NoError(t, err)
	must.Eq(t, "text", string(source))
	must.Eq(t, []string{"192.0.2.1:7000" + pathSource}, there.asked)

	var notLeader *control.NotLeaderError
	_, err = newTestReader(elsewhere, &sourceCaller{reply: &sourceReply{NotLeader: true, Source: []byte("old")}}).Source(ctx)
	must.True(t, errors.As(err, &notLeader))
	_, err = newTestReader(&control.NotLeaderError{}, there).Source(ctx)
	must.True(t, errors.As(err, &notLeader))

	unreachable := errors.New("unreachable")
	_, err = newTestReader(elsewhere, &sourceCaller{err: unreachable}).Source(ctx)
	must.ErrorIs(t, err, unreachable)
	_, err = newTestReader(unreachable, there).Source(ctx)
	must.ErrorIs(t, err, unreachable)
}
