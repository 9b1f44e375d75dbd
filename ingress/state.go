package ingress

import (
	"github.com/hemlockring/hemlockring/pipeline"
)

// exchangeState is the state that the filters of the ingress keep in Exchange.State.
type exchangeState struct {
	token heldToken
}

// exchangeToken returns a pointer to the quota token in the state of the exchange. It
// creates the state if needed.
func exchangeToken(exchange *pipeline.Exchange) *heldToken {
	state, ok := exchange.State.(*exchangeState)
	if !ok {
		state = &exchangeState{}
		exchange.State = state
	}
	return &state.token
}
