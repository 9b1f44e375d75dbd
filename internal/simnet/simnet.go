// Package simnet simulates an unreliable network and inaccurate clocks for property tests:
// messages that are lost, delayed, duplicated and reordered, one-way partitions, and
// monotonic clocks with an arbitrary offset and a drift. It is for tests only. The nodes
// are simulated by the test.
package simnet

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// StartTime is the true time at the start of a simulation.
var StartTime = time.Unix(1_000_000, 0)

// Clock is the monotonic clock of one node.
type Clock struct {
	// Offset is the difference between the clock's reading and true time at
	// StartTime.
	Offset time.Duration
	// Drift is the error of the clock's rate as a fraction of true time: with 0.01, the
	// clock gains 10 ms per second.
	Drift float64
}

// LocalTime returns the clock's reading at the given true time.
func (c Clock) LocalTime(now time.Time) time.Time {
	elapsed := now.Sub(StartTime)
	return StartTime.Add(c.Offset + elapsed + time.Duration(c.Drift*float64(elapsed)))
}

// TrueTime returns the true time at which the clock shows the reading.
func (c Clock) TrueTime(reading time.Time) time.Time {
	elapsed := float64(reading.Sub(StartTime)-c.Offset) / (1 + c.Drift)
	return StartTime.Add(time.Duration(elapsed))
}

// Envelope is a message in transit.
type Envelope[M any] struct {
	From, To  fleetconfig.InstanceID
	Message   M
	deliverAt time.Time
}

// Link is one direction between two nodes.
type Link struct {
	From, To fleetconfig.InstanceID
}

// maxDelayMillis bounds the delay of a delayed or duplicated message.
const maxDelayMillis = 8000

// Network is a simulated network that carries messages of type M.
type Network[M any] struct {
	// Draw returns a random number from 0 to n-1. The label names the draw in the
	// output of a failing test.
	Draw func(label string, n int) int
	// LossOdds makes the network lose one in this many messages.
	LossOdds int
	// Blocked holds the links on which all messages are lost.
	Blocked  map[Link]bool
	inFlight []Envelope[M]
}

// maxShortDelayMillis bounds a delay after which a message may still arrive before the
// receiver's timeout.
const maxShortDelayMillis = 600

// Send sends a message at the given true time. One in LossOdds is lost. Of the others, one
// in 40 is delayed by up to maxDelayMillis, one in 40 by up to maxShortDelayMillis, and one
// in 40 is duplicated. The rest arrive after 1 to 20 ms.
func (n *Network[M]) Send(from, to fleetconfig.InstanceID, message M, now time.Time) {
	n.SendDelayed(from, to, message, now, 0)
}

// SendDelayed is Send for a message that its sender holds back for a time after now. The
// delays of the network are added to it.
func (n *Network[M]) SendDelayed(from, to fleetconfig.InstanceID, message M, now time.Time, held time.Duration) {
	if n.Blocked[Link{From: from, To: to}] {
		return
	}
	if n.Draw("loss", n.LossOdds) == 0 {
		return
	}
	fate := n.Draw("fate", 40)
	envelope := Envelope[M]{From: from, To: to, Message: message, deliverAt: now.Add(held + time.Duration(1+fate/2)*time.Millisecond)}
	switch fate {
	case 1:
		envelope.deliverAt = now.Add(held + time.Duration(n.Draw("delay", maxDelayMillis))*time.Millisecond)
	case 2:
		n.inFlight = append(n.inFlight, envelope)
		envelope.deliverAt = now.Add(held + time.Duration(n.Draw("again", maxDelayMillis))*time.Millisecond)
	case 3:
		envelope.deliverAt = now.Add(held + time.Duration(n.Draw("short delay", maxShortDelayMillis))*time.Millisecond)
	}
	n.inFlight = append(n.inFlight, envelope)
}

// Deliver removes and returns the messages that have arrived by now. Messages to nodes that
// can not receive stay in the network.
func (n *Network[M]) Deliver(now time.Time, canReceive func(fleetconfig.InstanceID) bool) []Envelope[M] {
	var arrived, remaining []Envelope[M]
	for _, envelope := range n.inFlight {
		if now.Before(envelope.deliverAt) || !canReceive(envelope.To) {
			remaining = append(remaining, envelope)
		} else {
			arrived = append(arrived, envelope)
		}
	}
	n.inFlight = remaining
	return arrived
}
