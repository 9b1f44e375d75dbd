// Package placement decides at an ingress whether a request may be sent to the backend
// servers of its service, and how long requests of its route usually take.
//
// What an ingress knows of a server is the outlook that the proxy beside it sends with its
// responses, refusals and load reports: how long a request of each urgency would wait for a
// slot. An ingress that knows that no server would run the request in time refuses it at
// once, and not after a refusal by each of them. The order of the queues applies here too, so
// more urgent requests are admitted while less urgent ones are refused.
//
// News ages: after freshFor the wait that it names counts less and less, and after
// NewsLifetime nothing is known of the server, so that it is tried again. An ingress with old
// or false news therefore finds out. The proxy beside the server has the last word in any
// case; a wrong admission costs one refused attempt.
//
// The package does no I/O and uses no global clock or randomness.
package placement
