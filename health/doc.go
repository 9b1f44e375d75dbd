// Package health decides which backend servers are suspect, which of them may
// be ejected, and when they return.
//
// The proxy beside a backend server feeds a Monitor with every request of that
// server. A Detector inside it holds two cumulative sums (CUSUM; E. S. Page,
// "Continuous Inspection Schemes", Biometrika 41, 1954) of log-likelihood
// ratios, one over latency and one over errors, against the Baseline of the
// whole service. A sum that crosses its bound makes the server suspect. The
// bound follows G. Lorden, "Procedures for Reacting to a Change in
// Distribution", Ann. Math. Stat. 42, 1971: for independent outcomes the mean
// number of healthy requests between two false alarms is at least exp(bound).
//
// A suspect server is ejected only under a permit of the PermitOwner of its
// service, which counts the floor with MayEject. A permit expires, so that no
// server stays ejected when the owner is lost, and a new owner grants nothing
// for one permit life.
//
// The verdict on a path (PathMonitor, at each ingress) is kept apart from the
// verdict on the server: an ingress that cannot reach an instance avoids it
// alone and tells no other instance that the server is bad.
//
// The package does no I/O. Time is handed in; every structure is bounded.
package health
