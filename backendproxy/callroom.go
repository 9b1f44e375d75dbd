package backendproxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/callgraph"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// minCallsPerRun is the mean number of calls from which on a request depends on the called
// service. Below it most runs succeed without the call.
const minCallsPerRun = 0.25

// callRoomFilter refuses a request whose run would call a service that has no room for a
// request of the same rank. The run would hold its slot while it waits for the call, and fail
// with it. The check is made beside the backend server, because that instance sends the calls
// and so knows the called service best. Calls are never refused here, since the run that
// sends them is under way.
type callRoomFilter struct {
	runs *RunTracker
	view func() *fleetconfig.View
	room func(call callgraph.Call, urgency fleetconfig.Urgency, slack time.Duration) (retryAfter time.Duration, room bool)
	// refusals counts the refused requests.
	refusals atomic.Uint64
}

func (*callRoomFilter) Name() string { return "calls" }

func (f *callRoomFilter) Request(exchange *pipeline.Exchange) error {
	if f.room == nil || exchange.RouteID == "" || exchange.Urgency.IsCall() || !f.view().ActivePreset().CallPrecedence {
		return nil
	}
	for _, expected := range f.runs.expectedCalls(exchange.RouteID) {
		if expected.PerRun < minCallsPerRun {
			continue
		}
		if retryAfter, room := f.room(expected.Call, exchange.Urgency, callSlack(exchange, clock.Now())); !room {
			f.refusals.Add(1)
			return pipeline.NewNotRunRefusal(pipeline.KindCalledServiceBusy, http.StatusServiceUnavailable,
				"service "+string(expected.Call.Service)+", which the run would call, has no room", "send the request again", retryAfter)
		}
	}
	return nil
}

// callSlack returns how long the calls of a run may wait so that the request is answered within
// its latency target or, if it has none or can not meet it, before its deadline.
func callSlack(exchange *pipeline.Exchange, now time.Time) time.Duration {
	answered := now.Add(exchange.ServiceTime)
	if slack := exchange.TargetTime.Sub(answered); slack > 0 {
		return slack
	}
	return exchange.Deadline.Sub(answered)
}
