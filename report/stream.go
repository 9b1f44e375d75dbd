package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Range is a range of consecutive sequence numbers.
type Range struct {
	_ struct{} `cbor:",toarray"`
	// First and Last are both included.
	First, Last uint64
}

// Stream tracks the summaries that were received from one incarnation of an
// instance.
type Stream struct {
	// Instance and Incarnation identify the stream.
	Instance    fleetconfig.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64                 `cbor:"2,keyasint"`
	// Received holds the received sequence numbers as ordered ranges that neither
	// overlap nor touch.
	Received []Range `cbor:"3,keyasint"`
	// FinalSequence is the sequence number of the last summary before a planned stop,
	// or 0 until it is received.
	FinalSequence uint64 `cbor:"4,keyasint"`
	// OpenOrders counts the open orders by service, ordered by service. Services
	// without open orders are left out.
	OpenOrders []ServiceOpenOrders `cbor:"7,keyasint,omitempty"`
	// Start and End span the intervals of the received summaries.
	Start time.Time `cbor:"5,keyasint"`
	End   time.Time `cbor:"6,keyasint"`
}

// ServiceOpenOrders is the number of orders of a service that were received and have
// not ended.
type ServiceOpenOrders struct {
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	// Count is negative when more orders ended than were received.
	Count int64 `cbor:"2,keyasint"`
}

// markReceived adds a sequence number to the received ones and reports whether it is
// new.
func (s *Stream) markReceived(sequence uint64) bool {
	i, _ := slices.BinarySearchFunc(s.Received, sequence, func(r Range, n uint64) int { return cmp.Compare(r.Last, n) })
	if i < len(s.Received) && s.Received[i].First <= sequence {
		return false
	}
	s.Received = slices.Insert(s.Received, i, Range{First: sequence, Last: sequence})
	if i+1 < len(s.Received) && s.Received[i+1].First == sequence+1 {
		s.Received[i].Last = s.Received[i+1].Last
		s.Received = slices.Delete(s.Received, i+1, i+2)
	}
	if i > 0 && s.Received[i-1].Last+1 == sequence {
		s.Received[i-1].Last = s.Received[i].Last
		s.Received = slices.Delete(s.Received, i, i+1)
	}
	return true
}

// update extends the time span of the stream by a new summary and adds its open
// orders.
func (s *Stream) update(summary *Summary) {
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
		s.addOpenOrders(summary.Orders[i].Service, summary.Orders[i].Counts.Open)
	}
}

// addOpenOrders adds count to the open orders of a service. It removes the service from
// OpenOrders if the sum is zero.
func (s *Stream) addOpenOrders(service fleetconfig.ServiceName, count int64) {
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

// hasAllSummaries reports whether all summaries up to the latest received one were
// received.
func (s *Stream) hasAllSummaries() bool { return len(s.Received) == 1 && s.Received[0].First == 1 }

// miscounted returns the services whose orders were not counted exactly once: more
// orders ended than were received, or the instance stopped as planned and some
// orders have not ended. It returns nothing while summaries are missing, because the
// counts can not be compared then.
func (s *Stream) miscounted() []ServiceOpenOrders {
	if !s.hasAllSummaries() {
		return nil
	}
	var miscounted []ServiceOpenOrders
	for _, open := range s.OpenOrders {
		if open.Count < 0 || s.FinalSequence != 0 {
			miscounted = append(miscounted, open)
		}
	}
	return miscounted
}

// Gap is a range of summaries that were not received.
type Gap struct {
	// Instance and Incarnation identify the stream.
	Instance    fleetconfig.InstanceID `json:"instance"`
	Incarnation uint64                 `json:"incarnation"`
	// First and Last are the first and last missing sequence number. Last is 0 when
	// the incarnation ended without its last summary; First is then the number that
	// was expected next.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// After is the end of the last interval that was received from an incarnation
	// that ended without its last summary.
	After time.Time `json:"after,omitzero"`
}

// gaps returns the missing summaries. An incarnation that sent nothing for longer
// than silenceTimeout and did not announce its stop counts as lost together with its
// last interval.
func (s *Stream) gaps(now time.Time, silenceTimeout time.Duration) []Gap {
	var gaps []Gap
	next := uint64(1)
	for _, received := range s.Received {
		if received.First > next {
			gaps = append(gaps, Gap{Instance: s.Instance, Incarnation: s.Incarnation, First: next, Last: received.First - 1})
		}
		next = received.Last + 1
	}
	if s.FinalSequence == 0 && now.Sub(s.End) > silenceTimeout {
		gaps = append(gaps, Gap{Instance: s.Instance, Incarnation: s.Incarnation, First: next, After: s.End})
	}
	return gaps
}
