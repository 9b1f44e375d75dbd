package report

import (
	"cmp"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// OrderCounts counts the orders of a service, which are its non-idempotent requests.
// Each order is received once, and is then either still open or in exactly one of
// the five counts of outcomes.
type OrderCounts struct {
	// Received counts orders when they arrive.
	Received uint64 `cbor:"1,keyasint" json:"received"`
	// RanOnce counts orders that ran: the caller received the response, or the
	// response was cut off.
	RanOnce uint64 `cbor:"2,keyasint" json:"ran_once"`
	// NotRun counts orders that were refused before a backend server ran them.
	NotRun uint64 `cbor:"3,keyasint" json:"not_run"`
	// Unknown counts orders that may or may not have run.
	Unknown uint64 `cbor:"4,keyasint" json:"unknown"`
	// RepeatsAnswered counts repeated orders that received the stored response of the
	// first one.
	RepeatsAnswered uint64 `cbor:"5,keyasint" json:"repeats_answered"`
	// RepeatsReferred counts repeated orders that were refused because the first one
	// is in progress, has an unknown outcome, or has run but its response was not
	// stored.
	RepeatsReferred uint64 `cbor:"6,keyasint" json:"repeats_referred"`
	// Open is the change in the number of open orders: received less ended. Over a
	// whole week it is the number of orders that have not ended yet or whose end was
	// lost with an instance, less the orders that were open at the start of the week.
	Open int64 `cbor:"7,keyasint" json:"open"`
}

// Merge returns the sum of the counts.
func (c OrderCounts) Merge(other OrderCounts) OrderCounts {
	return OrderCounts{
		Received:        c.Received + other.Received,
		RanOnce:         c.RanOnce + other.RanOnce,
		NotRun:          c.NotRun + other.NotRun,
		Unknown:         c.Unknown + other.Unknown,
		RepeatsAnswered: c.RepeatsAnswered + other.RepeatsAnswered,
		RepeatsReferred: c.RepeatsReferred + other.RepeatsReferred,
		Open:            c.Open + other.Open,
	}
}

// Balanced reports whether the orders received equal the sum of those that ended and
// those that are open.
func (c OrderCounts) Balanced() bool {
	ended := c.RanOnce + c.NotRun + c.Unknown + c.RepeatsAnswered + c.RepeatsReferred
	return int64(c.Received) == int64(ended)+c.Open
}

// SeriesKind is what the exchanges of a latency series have in common.
type SeriesKind uint8

const (
	// SeriesService contains all exchanges of a service.
	SeriesService SeriesKind = iota
	// SeriesRoute contains all exchanges of a route. Routes beyond the limit share one
	// series per service.
	SeriesRoute
	// SeriesAccount contains all exchanges of a client account, or of a class of
	// accounts that have no series of their own.
	SeriesAccount
)

// SeriesKey identifies a latency series.
type SeriesKey struct {
	// Kind tells what Name identifies.
	Kind SeriesKind `cbor:"1,keyasint"`
	// Name is the service, the route, the account or the class of accounts.
	Name string `cbor:"2,keyasint"`
}

func (k SeriesKey) compare(other SeriesKey) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Series is a latency series.
type Series struct {
	// Key identifies the series.
	Key SeriesKey `cbor:"1,keyasint"`
	// Latency is the time from the arrival of a request to the end of its response.
	// Requests that were refused without being run are not included.
	Latency Histogram `cbor:"2,keyasint"`
}

// ServiceOrders holds the order counts of a service.
type ServiceOrders struct {
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	Counts  OrderCounts             `cbor:"2,keyasint"`
}

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	// Kind is the reason of the refusals.
	Kind pipeline.RefusalKind `cbor:"1,keyasint" json:"cause"`
	// Count is the number of refusals.
	Count uint64 `cbor:"2,keyasint" json:"count"`
	// Wrongful reports whether refusals of this kind are the fault of the fleet, not
	// of the caller: the fleet refuses a request although it is valid and within the
	// rate of its account.
	Wrongful bool `cbor:"-" json:"wrongful"`
}

// isWrongful reports whether a refusal is the fault of the fleet, not of the caller.
func isWrongful(kind pipeline.RefusalKind) bool {
	switch kind {
	case pipeline.KindBadRequest, pipeline.KindNoRoute, pipeline.KindKeyMissing, pipeline.KindKeyRejected,
		pipeline.KindOverRate, pipeline.KindCanceled, pipeline.KindIdempotencyKeyReused,
		pipeline.KindOrderInProgress, pipeline.KindOrderOutcomeUnknown:
		return false
	}
	return true
}

// EventKind is what happened to a backend server or a request.
type EventKind string

const (
	// EventDetected means that a backend server was detected as failing.
	EventDetected EventKind = "detected"
	// EventEjected means that the backend server was ejected from selection.
	EventEjected EventKind = "ejected"
	// EventReturned means that the backend server was returned to selection.
	EventReturned EventKind = "returned"
	// EventQuarantined means that a request is refused because it crashes backend servers.
	EventQuarantined EventKind = "quarantined"
)

// Event is a change in the health state of a backend server, or a request that was quarantined.
type Event struct {
	// At is the time of the event.
	At   time.Time `cbor:"1,keyasint" json:"at"`
	Kind EventKind `cbor:"2,keyasint" json:"kind"`
	// Service is the backend server's service.
	Service fleetconfig.ServiceName `cbor:"3,keyasint" json:"service"`
	// Instance is the instance that the backend server belongs to.
	Instance fleetconfig.InstanceID      `cbor:"4,keyasint" json:"instance"`
	Server   fleetconfig.BackendServerID `cbor:"5,keyasint" json:"backend_server"`
	// DetectionTime is the time from the first evidence of a failure to the detection
	// or ejection, or zero when it is not known.
	DetectionTime time.Duration `cbor:"6,keyasint,omitempty" json:"took_ns"`
	// FalsePositive reports whether an ejection turned out to be wrong.
	FalsePositive bool `cbor:"7,keyasint,omitempty" json:"false"`
	// Fingerprint and Account are those of a quarantined request.
	Fingerprint string                `cbor:"8,keyasint,omitempty" json:"fingerprint,omitempty"`
	Account     fleetconfig.AccountID `cbor:"9,keyasint,omitempty" json:"account,omitempty"`
}

// Subject returns the backend server of the event, or the request and its account.
func (e Event) Subject() string {
	switch {
	case e.Kind != EventQuarantined:
		return string(e.Server)
	case e.Account == "":
		return "request " + e.Fingerprint
	default:
		return "request " + e.Fingerprint + " of account " + string(e.Account)
	}
}

func (e *Event) compare(other *Event) int {
	return cmp.Or(
		e.At.Compare(other.At),
		cmp.Compare(e.Kind, other.Kind),
		cmp.Compare(e.Service, other.Service),
		cmp.Compare(e.Instance, other.Instance),
		cmp.Compare(e.Server, other.Server),
		cmp.Compare(e.DetectionTime, other.DetectionTime),
		compareBool(e.FalsePositive, other.FalsePositive),
		cmp.Compare(e.Fingerprint, other.Fingerprint),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Summary holds the figures of one instance for one interval, or a part of them: a
// large interval is split into several summaries, each with a sequence number.
type Summary struct {
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation distinguishes the starts of an instance. It increases with each
	// start.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence numbers the summaries of the incarnation, from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Start and End bound the interval.
	Start time.Time `cbor:"4,keyasint"`
	End   time.Time `cbor:"5,keyasint"`
	// Final marks the last summary before a planned stop.
	Final bool `cbor:"6,keyasint,omitempty"`
	// Latency holds the latency series, ordered by key.
	Latency []Series `cbor:"7,keyasint"`
	// Orders holds the order counts, ordered by service.
	Orders []ServiceOrders `cbor:"8,keyasint"`
	// Refusals holds the refusals, ordered by kind.
	Refusals []RefusalCount `cbor:"9,keyasint"`
	// Events holds the events in the order of time.
	Events []Event `cbor:"10,keyasint"`
	// EventsDropped counts events beyond the limit of an interval.
	EventsDropped uint64 `cbor:"11,keyasint,omitempty"`
}
