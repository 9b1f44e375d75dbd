package ingress

import (
	"github.com/hemlockring/hemlockring/pipeline"
)

// exchangeState is what the filters of the ingress keep for one exchange.
type exchangeState struct {
	token heldToken
}

func tokenOf(exchange *pipeline.Exchange) *heldToken {
	state, ok := exchange.State.(*exchangeState)
	if !ok {
		state = &exchangeState{}
		exchange.State = state
	}
	return &state.token
}
