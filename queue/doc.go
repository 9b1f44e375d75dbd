// Package queue holds the requests that wait for a slot of one backend server, at the
// proxy on the same instance.
//
// The number of slots is the concurrency limit: no more requests run than there are slots.
// Between client accounts the order is start-time fair queueing (P. Goyal, H. M. Vin and
// H. Cheng, "Start-Time Fair Queuing", IEEE/ACM Transactions on Networking 5, 1997),
// charged with the time for which requests actually held a slot. Within an account, the
// request with the earliest deadline runs first. When the queue is full, the account with
// the most waiting requests loses one (P. E. McKenney, "Stochastic Fairness Queueing",
// INFOCOM 1990), so that one account at several times its rate does not displace the
// others.
//
// More urgent requests run first, except that every fourth slot goes to less urgent ones
// while such requests wait. The same share, a quarter, of the queue's length is reserved for
// the less urgent requests.
//
// While requests have been waiting without interruption for a while, requests that would miss
// their latency targets do not wait. The slots run as many requests as otherwise, but those
// that are answered in time (compare K. Nichols and V. Jacobson, "Controlling Queue Delay",
// ACM Queue 10, 2012).
//
// A request that is not expected to start or finish in time, according to the estimated
// service times, is refused at once. A request that is offered while a slot is free is never
// refused because of an estimate. A refused request has not run, so its quota token is
// returned. The package does no I/O; its driver carries out the returned actions.
package queue
