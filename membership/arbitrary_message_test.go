package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A message must not end the process of each instance that receives it.
func TestArbitraryMessagesAreHandled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		state := New(Config{}, Record{ID: "self", Address: "a", Proxy: true}, nil, rand.New(rand.NewPCG(1, 1)), now)
		for range rapid.IntRange(1, 10).Draw(t, "messages") {
			message := rapid.Make[Message]().Draw(t, "message")
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			state.Step(&message, now)
			state.Tick(now)
			state.Members()
		}
		request := rapid.Make[DigestRequest]().Draw(t, "request")
		state.HandleDigestRequest(&request, now)
	})
}
