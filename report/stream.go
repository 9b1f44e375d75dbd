package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Range is a run of summary numbers, both ends included.
type Range struct {
	_ struct{} `cbor:",toarray"`
	// First and Last are the ends.
	First, Last uint64
}

// Stream is what has come of one incarnation of an instance.
type Stream struct {
	// Instance and Incarnation identify it.
	Instance    fleetconfig.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64                 `cbor:"2,keyasint"`
	// Received are the numbers that have come, ordered and apart.
	Received []Range `cbor:"3,keyasint"`
	// FinalSequence is the number of the last summary before a planned stop, 0 while
	// none has come.
	FinalSequence uint64 `cbor:"4,keyasint"`
	// OpenOrders are the open orders by service, without the services that have none.
	OpenOrders []ServiceOpenOrders `cbor:"7,keyasint,omitempty"`
	// Start and End bound the intervals that have come.
	Start time.Time `cbor:"5,keyasint"`
	End   time.Time `cbor:"6,keyasint"`
}

// ServiceOpenOrders is the number of orders of a service that were received and have
// not ended.
type ServiceOpenOrders struct {
	// Service is the service.
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	// Count is below zero when more orders ended than were received.
	Count int64 `cbor:"2,keyasint"`
}

// take notes a number and reports whether it is new.
func (s *Stream) take(number uint64) bool {
	i, _ := slices.BinarySearchFunc(s.Received, number, func(r Range, n uint64) int { return cmp.Compare(r.Last, n) })
	if i < len(s.Received) && s.Received[i].First <= number {
		return false
	}
	s.Received = slices.Insert(s.Received, i, Range{First: number, Last: number})
	if i+1 < len(s.Received) && s.Received[i+1].First == number+1 {
		s.Received[i].Last = s.Received[i+1].Last
		s.Received = slices.Delete(s.Received, i+1, i+2)
	}
	if i > 0 && s.Received[i-1].Last+1 == number {
		s.Received[i-1].Last = s.Received[i].Last
		s.Received = slices.Delete(s.Received, i, i+1)
	}
	return true
}

// note widens the times of the stream.
func (s *Stream) note(summary *Summary) {
	if s.Start.IsZero() || summary.Start.Before(s.Start) {
		s.Start = summary.Start
	}
	if summary.End.After(s.End) {
		s.End = summary.End
	}
	if summary.Final {
		s.FinalSequence = summary.Sequence
	}
	for i := range summary.Orders {
		s.addOpen(summary.Orders[i].Service, summary.Orders[i].Counts.Open)
	}
}

func (s *Stream) addOpen(service fleetconfig.ServiceName, count int64) {
	if count == 0 {
		return
	}
	i, found := slices.BinarySearchFunc(s.OpenOrders, service, func(o ServiceOpenOrders, name fleetconfig.ServiceName) int {
		return cmp.Compare(o.Service, name)
	})
	if !found {
		s.OpenOrders = slices.Insert(s.OpenOrders, i, ServiceOpenOrders{Service: service})
	}
	s.OpenOrders[i].Count += count
	if s.OpenOrders[i].Count == 0 {
		s.OpenOrders = slices.Delete(s.OpenOrders, i, i+1)
	}
}

// whole reports whether every summary up to the last that came has come.
func (s *Stream) whole() bool { return len(s.Received) == 1 && s.Received[0].First == 1 }

// miscounted returns the services whose orders were not counted once: more ended
// than were received, or the instance stopped as planned and some have no end.
// Without all summaries nothing can be said.
func (s *Stream) miscounted() []ServiceOpenOrders {
	if !s.whole() {
		return nil
	}
	var wrong []ServiceOpenOrders
	for _, open := range s.OpenOrders {
		if open.Count < 0 || s.FinalSequence != 0 {
			wrong = append(wrong, open)
		}
	}
	return wrong
}

// Gap is a loss of summaries that the report names.
type Gap struct {
	// Instance and Incarnation say whose summaries are lost.
	Instance    fleetconfig.InstanceID `json:"instance"`
	Incarnation uint64                 `json:"incarnation"`
	// First and Last are the missing numbers. Last is 0 when the incarnation ended
	// without its last summary, and First is then the number that did not come.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// After is the end of the last interval that did come, for an incarnation that
	// ended without its last summary.
	After time.Time `json:"after,omitzero"`
}

// gaps returns what is missing. An incarnation that has been silent for longer
// than silence and never announced its end was lost with its last interval.
func (s *Stream) gaps(now time.Time, silence time.Duration) []Gap {
	var gaps []Gap
	next := uint64(1)
	for _, received := range s.Received {
		if received.First > next {
			gaps = append(gaps, Gap{Instance: s.Instance, Incarnation: s.Incarnation, First: next, Last: received.First - 1})
		}
		next = received.Last + 1
	}
	if s.FinalSequence == 0 && now.Sub(s.End) > silence {
		gaps = append(gaps, Gap{Instance: s.Instance, Incarnation: s.Incarnation, First: next, After: s.End})
	}
	return gaps
}
