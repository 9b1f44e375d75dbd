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

// barrierLog is a log whose read barrier returns a given error.
type barrierLog struct {
	fakeLog
	barrierErr error
}

func (l *barrierLog) ReadBarrier(context.Context) error { return l.barrierErr }

// sourceCaller returns a given reply to every call and records the calls.
type sourceCaller struct {
	transport.Caller
	reply     *sourceReply
	err       error
	addresses []string
}

func (c *sourceCaller) Call(_ context.Context, address, path string, _, reply any) error {
	c.addresses = append(c.addresses, address+path)
	if c.err == nil {
		*reply.(*sourceReply) = *c.reply
	}
	return c.err
}

func newTestReader(barrierErr error, caller *sourceCaller) *SourceReader {
	service := &Service{config: Config{Replica: NewReplica(), Log: &barrierLog{barrierErr: barrierErr}}}
	return NewSourceReader(service, caller, http.NewServeMux())
}

// The text is read after a read barrier, locally or on the leader, and never from an
// instance that is not certain to be the leader.
func TestSourceReadAtLeader(t *testing.T) {
	ctx := t.Context()
	localCaller := &sourceCaller{}
	_, err := newTestReader(nil, localCaller).Source(ctx)
	must.NoError(t, err)
	must.SliceEmpty(t, localCaller.addresses)

	notLeaderHere := &control.NotLeaderError{Address: "192.0.2.1:7000"}
	remoteCaller := &sourceCaller{reply: &sourceReply{Source: []byte("text")}}
	source, err := newTestReader(notLeaderHere, remoteCaller).Source(ctx)
	must.NoError(t, err)
	must.Eq(t, "text", string(source))
	must.Eq(t, []string{"192.0.2.1:7000" + pathSource}, remoteCaller.addresses)

	var notLeader *control.NotLeaderError
	_, err = newTestReader(notLeaderHere, &sourceCaller{reply: &sourceReply{NotLeader: true, Source: []byte("old")}}).Source(ctx)
	must.True(t, errors.As(err, &notLeader))
	_, err = newTestReader(&control.NotLeaderError{}, remoteCaller).Source(ctx)
	must.True(t, errors.As(err, &notLeader))

	unreachable := errors.New("unreachable")
	_, err = newTestReader(notLeaderHere, &sourceCaller{err: unreachable}).Source(ctx)
	must.ErrorIs(t, err, unreachable)
	_, err = newTestReader(unreachable, remoteCaller).Source(ctx)
	must.ErrorIs(t, err, unreachable)
}
