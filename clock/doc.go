// Package clock provides the clock for leases, deadlines and the time for which a
// configuration counts as current. Unlike the monotonic clock of package time, it keeps
// running while the machine is suspended, and unlike the wall clock, it does not change
// when the machine's time is set.
//
// Times of this clock and of time.Now must not be mixed. They differ by the time that the
// machine has been suspended since the process started.
package clock
