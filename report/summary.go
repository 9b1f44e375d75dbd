package report

import (
	"cmp"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// OrderCounts counts the orders of a service: its non-idempotent requests. Each
// order is received once and ends in exactly one of the five ends, or is still
// open.
type OrderCounts struct {
	// Received counts orders when they arrive.
	Received uint64 `cbor:"1,keyasint" json:"received"`
	// RanOnce counts orders whose answer the caller got, or whose answer broke off.
	RanOnce uint64 `cbor:"2,keyasint" json:"ran_once"`
	// NotRun counts orders that were refused before a backend server saw them.
	NotRun uint64 `cbor:"3,keyasint" json:"not_run"`
	// Unknown counts orders that may or may not have run.
	Unknown uint64 `cbor:"4,keyasint" json:"unknown"`
	// RepeatsAnswered counts repeats that got the stored answer.
	RepeatsAnswered uint64 `cbor:"5,keyasint" json:"repeats_answered"`
	// RepeatsReferred counts repeats that heard that the first order is in
	// progress, has an unknown outcome, or has run without its answer being kept.
	RepeatsReferred uint64 `cbor:"6,keyasint" json:"repeats_referred"`
	// Open is by how many the open orders have grown. Over a whole week it is the
	// number of orders whose end is still to come or was lost with an instance.
	Open int64 `cbor:"7,keyasint" json:"open"`
}

// Merge returns the sum of both counts.
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

// Balanced reports whether every order received is in exactly one count.
func (c OrderCounts) Balanced() bool {
	ended := c.RanOnce + c.NotRun + c.Unknown + c.RepeatsAnswered + c.RepeatsReferred
	return int64(c.Received) == int64(ended)+c.Open
}

// SeriesKind says what a latency series is about.
type SeriesKind uint8

const (
	// SeriesService is all exchanges of a service.
	SeriesService SeriesKind = iota
	// SeriesRoute is all exchanges of a route. Routes beyond the bound share one
	// series for each service.
	SeriesRoute
	// SeriesAccount is all exchanges of a client account, or of a class of accounts
	// without a series of their own.
	SeriesAccount
)

// SeriesKey names a latency series.
type SeriesKey struct {
	// Kind is what the series is about.
	Kind SeriesKind `cbor:"1,keyasint"`
	// Name is the service, route, account or class.
	Name string `cbor:"2,keyasint"`
}

func (k SeriesKey) compare(other SeriesKey) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Series is the latencies of one series.
type Series struct {
	// Key names it.
	Key SeriesKey `cbor:"1,keyasint"`
	// Latency is the time from the arrival of requests to the end of their
	// answers. Refusals of requests that were not run are not part of it.
	Latency Histogram `cbor:"2,keyasint"`
}

// ServiceOrders is the order counts of a service.
type ServiceOrders struct {
	// Service is the service.
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	// Counts are its counts.
	Counts OrderCounts `cbor:"2,keyasint"`
}

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	// Kind is the reason.
	Kind pipeline.RefusalKind `cbor:"1,keyasint" json:"cause"`
	// Count is how many there were.
	Count uint64 `cbor:"2,keyasint" json:"count"`
	// Wrongful says that requests within their account's rate are refused for this
	// reason, through no fault of the caller.
	Wrongful bool `cbor:"-" json:"wrongful"`
}

// wrongful reports whether a refusal is the fleet's fault.
func wrongful(kind pipeline.RefusalKind) bool {
	switch kind {
	case pipeline.KindBadRequest, pipeline.KindNoRoute, pipeline.KindKeyMissing, pipeline.KindKeyRejected,
		pipeline.KindOverRate, pipeline.KindCanceled, pipeline.KindIdempotencyKeyReused,
		pipeline.KindOrderInProgress, pipeline.KindOrderOutcomeUnknown:
		return false
	}
	return true
}

// EventKind is what happened to a backend server.
type EventKind string

const (
	// EventDetected means that a backend server was found to fail.
	EventDetected EventKind = "detected"
	// EventEjected means that it was taken out of selection.
	EventEjected EventKind = "ejected"
	// EventReturned means that it was taken back.
	EventReturned EventKind = "returned"
)

// Event is something that happened to a backend server.
type Event struct {
	// At is when it happened.
	At time.Time `cbor:"1,keyasint" json:"at"`
	// Kind is what happened.
	Kind EventKind `cbor:"2,keyasint" json:"kind"`
	// Service is the backend server's service.
	Service fleetconfig.ServiceName `cbor:"3,keyasint" json:"service"`
	// Instance is the instance beside the backend server.
	Instance fleetconfig.InstanceID `cbor:"4,keyasint" json:"instance"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"5,keyasint" json:"backend_server"`
	// DetectionTime is the time from the first evidence to a detection or ejection, zero when
	// it is not known.
	DetectionTime time.Duration `cbor:"6,keyasint,omitempty" json:"took_ns"`
	// FalsePositive says that an ejection turned out to be wrong.
	FalsePositive bool `cbor:"7,keyasint,omitempty" json:"false"`
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

// Summary is what one instance saw in one interval, or a part of it: an interval
// with much to tell is given out in several summaries, each with a number.
type Summary struct {
	// Instance is the instance.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation tells a restarted instance from the one before. Later ones are
	// greater.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence counts the summaries of the incarnation from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Start and End bound the interval.
	Start time.Time `cbor:"4,keyasint"`
	End   time.Time `cbor:"5,keyasint"`
	// Final says that the instance stopped as planned after this interval.
	Final bool `cbor:"6,keyasint,omitempty"`
	// Latency holds the latency series, ordered by key.
	Latency []Series `cbor:"7,keyasint"`
	// Orders holds the order counts, ordered by service.
	Orders []ServiceOrders `cbor:"8,keyasint"`
	// Refusals holds the refusals, ordered by kind.
	Refusals []RefusalCount `cbor:"9,keyasint"`
	// Events holds the events in the order of time.
	Events []Event `cbor:"10,keyasint"`
	// EventsDropped counts events beyond the bound.
	EventsDropped uint64 `cbor:"11,keyasint,omitempty"`
}
