// Package clock is the clock that leases, deadlines and the currency of the
// configuration rest on. Unlike the monotonic clock of package time it goes on
// while the machine is suspended, and unlike the time of day it never jumps.
//
// Times of this clock and of time.Now must not be mixed: they are apart by as long
// as the machine was suspended since the process started.
package clock
