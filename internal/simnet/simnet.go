// Package simnet gives property tests a bad network and bad clocks: messages that
// are lost, late, doubled and out of order, one-way cuts, and monotonic clocks
// that start anywhere and drift. It is for tests only and models no cluster; the
// test owns the nodes.
package simnet

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Start is true time zero.
var Start = time.Unix(1_000_000, 0)

// Clock is the monotonic clock of one node.
type Clock struct {
	// Offset is the reading at Start.
	Offset time.Duration
	// Drift is the error of the rate, as a share of true time.
	Drift float64
}

// At returns the reading at the given true time.
func (c Clock) At(now time.Time) time.Time {
	elapsed := now.Sub(Start)
	return Start.Add(c.Offset + elapsed + time.Duration(c.Drift*float64(elapsed)))
}

// TrueTime returns the true time at which the clock shows the reading.
func (c Clock) TrueTime(reading time.Time) time.Time {
	elapsed := float64(reading.Sub(Start)-c.Offset) / (1 + c.Drift)
	return Start.Add(time.Duration(elapsed))
}

// Parcel is a message on its way.
type Parcel[M any] struct {
	From, To fleetconfig.InstanceID
	Message  M
	due      time.Time
}

// Link is one direction between two nodes.
type Link struct {
	From, To fleetconfig.InstanceID
}

// maxDelay is the longest delay of a message.
const maxDelay = 8000

// Network carries the messages.
type Network[M any] struct {
	// Draw returns a number from 0 to sides-1.
	Draw func(label string, sides int) int
	// LossOdds is one in how many messages is lost.
	LossOdds int
	// Cut holds the links that lose everything.
	Cut    map[Link]bool
	flight []Parcel[M]
}

// shortDelay is the longest delay of a message that may still come in time.
const shortDelay = 600

// Post sends a message at the given true time. One in LossOdds is lost; one
// in 20 is late and one in 40 comes twice.
func (n *Network[M]) Post(from, to fleetconfig.InstanceID, message M, now time.Time) {
	n.PostLate(from, to, message, now, 0)
}

// PostLate is Post for a message that its sender holds back for a time.
func (n *Network[M]) PostLate(from, to fleetconfig.InstanceID, message M, now time.Time, held time.Duration) {
	if n.Cut[Link{From: from, To: to}] {
		return
	}
	if n.Draw("loss", n.LossOdds) == 0 {
		return
	}
	fate := n.Draw("fate", 40)
	parcel := Parcel[M]{From: from, To: to, Message: message, due: now.Add(held + time.Duration(1+fate/2)*time.Millisecond)}
	switch fate {
	case 1:
		parcel.due = now.Add(time.Duration(n.Draw("delay", maxDelay)) * time.Millisecond)
	case 2:
		n.flight = append(n.flight, parcel)
		parcel.due = now.Add(time.Duration(n.Draw("again", maxDelay)) * time.Millisecond)
	case 3:
		parcel.due = now.Add(held + time.Duration(n.Draw("short delay", shortDelay))*time.Millisecond)
	}
	n.flight = append(n.flight, parcel)
}

// Due takes the messages out that have arrived at nodes that can take them.
func (n *Network[M]) Due(now time.Time, awake func(fleetconfig.InstanceID) bool) []Parcel[M] {
	var due, rest []Parcel[M]
	for _, parcel := range n.flight {
		if now.Before(parcel.due) || !awake(parcel.To) {
			rest = append(rest, parcel)
		} else {
			due = append(due, parcel)
		}
	}
	n.flight = rest
	return due
}
