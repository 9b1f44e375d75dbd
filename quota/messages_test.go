package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// A reply that was abridged is restored to the reply of the owner, whatever its grants are, and
// is sent as it is to an ingress that does not ask for that.
func TestAbridgedReplyIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := BorrowRequest{Abridge: rapid.Bool().Draw(t, "permitted")}
		var reply BorrowReply
		for range rapid.IntRange(0, 5).Draw(t, "grants") {
			account := fleetconfig.AccountID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"))
			asked := TokenRequest{Account: account, Grant: GrantID(rapid.Uint64Range(0, 3).Draw(t, "grant"))}
			granted := TokenGrant{Account: asked.Account, Grant: asked.Grant, Count: rapid.Uint32Range(0, 9).Draw(t, "count")}
			if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
				granted.Account, granted.Grant = "other", 9
			}
			request.TokenRequests, reply.Grants = append(request.TokenRequests, asked), append(reply.Grants, granted)
		}
		if rapid.IntRange(0, 9).Draw(t, "more") == 0 {
			reply.Grants = append(reply.Grants, TokenGrant{Account: "more", Grant: 8})
		}
		want, err := codec.Marshal(&reply)
		must.NoError(t, err)
		reply.Abridge(&request)
		sent, err := codec.Marshal(&reply)
		must.NoError(t, err)
		if !request.Abridge {
			must.Eq(t, want, sent)
		}
		var received BorrowReply
		must.NoError(t, codec.Unmarshal(sent, &received))
		received.Restore(&request)
		restored, err := codec.Marshal(&received)
		must.NoError(t, err)
		must.Eq(t, want, restored)
	})
}

func TestBytesOfReply(t *testing.T) {
	const maxBytes = 26
	request := BorrowRequest{Abridge: true, TokenRequests: []TokenRequest{{Account: "account-17", Grant: 1 << 63, Waiting: 1, Prefetch: 4}}}
	reply := BorrowReply{IsOwner: true, Grants: []TokenGrant{{
		Account: "account-17", Grant: 1 << 63, Count: 5, Lifetime: MaxTokenLifetime, PrefetchLimit: 8, MaxReportDelay: 700 * time.Millisecond,
	}}}
	whole, err := codec.Marshal(&reply)
	must.NoError(t, err)
	reply.Abridge(&request)
	sent, err := codec.Marshal(&reply)
	must.NoError(t, err)
	t.Logf("%d bytes, %d with what the request says", len(sent), len(whole))
	must.LessEq(t, maxBytes, len(sent))
}
