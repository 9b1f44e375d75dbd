// Package soak runs a fleet of real processes under random faults and checks the
// fleet's guarantees from what callers, operators and backend servers observe.
//
// A seed determines the faults: their kinds, times, instances and durations. All of them
// are injected from outside the processes: signals, a datagram relay between the
// instances, a stream relay in front of the caller addresses, damage to the files of
// stopped daemons, faults of the emulated backend servers, and configuration changes.
// Faults may overlap. Callers keep their connections open until the other end closes
// them.
//
// The checks are:
//
//   - an order runs at most once, and an answered order has run;
//   - a request that was reported as not run has not run;
//   - no API key reaches a backend server;
//   - an account stays within its rate and burst in every time window;
//   - a withdrawn key is rejected within the guaranteed time;
//   - a response is either complete and correct or visibly incomplete;
//   - an accepted change is kept, a change rejected with a conflict is not made, and at
//     most one of two concurrent changes with the same base version is accepted;
//   - an evacuation is kept until its end, and the servers beside undisturbed instances of an
//     evacuated failure domain receive nothing evacuationBound after the acceptance;
//   - the repeats that all backend servers receive stay within the preset's limits in every window;
//   - a planned stop interrupts no request;
//   - no daemon exits unexpectedly;
//   - after the last fault, the fleet serves again within recoveryBound.
package soak
