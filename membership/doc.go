// Package membership decides who is in the fleet: which instances live, where
// they run and which backend servers are announced to them.
//
// It is a state machine without I/O or clock in the manner of SWIM (Das, Gupta,
// Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002): each period it pings one other instance, asks a
// few others to ping it when it stays silent, spreads suspicions and lets the
// suspect refute them. Each instance writes only its own Record, ordered by
// incarnation and sequence, so that the newest one wins in whatever order the
// records come. A digest exchange finds what the datagrams have lost.
//
// Membership says who may be used. It never decides who owns or who votes.
package membership
