// Package queue holds the requests that wait for a slot of one backend server,
// at the proxy beside it.
//
// The slots are the concurrency: never more requests run than there are slots.
// Between client accounts the order is start-time fair queueing (P. Goyal,
// H. M. Vin and H. Cheng, "Start-Time Fair Queuing", IEEE/ACM Transactions on
// Networking 5, 1997), charged with the time that requests really held a slot.
// Inside an account the earliest deadline goes first. When the queue is full, the
// account with the most waiting requests gives one up (P. E. McKenney,
// "Stochastic Fairness Queueing", INFOCOM 1990), so that one account at several
// times its rate does not push out the others.
//
// Requests of a more urgent rank go first, but for every fourth slot, which less
// urgent ones get while they wait. The same part of the queue is left to them.
//
// A request that cannot start or be answered in time, given the expected times in a
// slot, is refused at once, but never while a slot is free. A refused request has not
// run: its quota token goes back. The package does no I/O; its driver carries out the
// returned decisions.
package queue
