// Package membership tracks the members of the fleet: which instances are alive,
// where they run and which backend servers run beside them. A backend server runs
// beside an instance if it is registered with that instance and runs on the same
// machine.
//
// It is a state machine without I/O or a clock that follows SWIM (Das, Gupta,
// Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002). In each period an instance pings one other
// instance. If there is no answer, it asks a few others to ping the target. It
// disseminates suspicions, which the suspected instance can refute. Each instance
// writes only its own [Record]. Records are ordered by incarnation and sequence,
// so that the newest one wins in whatever order they are received. A digest
// exchange recovers updates that were lost with datagrams.
//
// Membership determines which instances may be sent work. It never determines
// which instance owns a shard or which instances may vote in package consensus.
package membership
