// Package quota keeps every client account within its rate and burst, counted
// over all instances together.
//
// The package decides and does no I/O. The owner of an account's shard (package
// shard) keeps the account's one token bucket in a Ledger and lends tokens to the
// ingresses, each of which has a Borrower. A request takes a token before it is
// sent on; the token is spent when the request is dispatched to the backend
// server.
//
// # The promise
//
// Over every interval of length d, and all instances together, the requests
// dispatched for an account never exceed rate × d + burst + slack, where the slack
// (Preset.QuotaSlack, 0 unless set) is what an operator lets accounts exceed. It
// holds because
//
//   - the level of the bucket and the tokens that are lent and may still be
//     dispatched never exceed burst and slack together, and the bucket fills no
//     faster than the rate;
//   - a lent token counts as such until the owner hears that it was spent or given
//     back, or until it has expired;
//   - a token expires at the borrower, and at the instance of the backend server,
//     before it expires at the owner: each counts from before the moment the other
//     counts from, and shortens the time by shard.SubtractClockDrift;
//   - no token outlives the lease of the owner that lent it, and a new owner starts
//     with an empty bucket after that lease, or with the state that the old owner
//     has handed over.
//
// A lent token keeps its place until the owner hears that it was dispatched, which
// may be as late as the head of the answer. Without slack, an account whose
// requests take long compared with burst / rate is therefore refused below its
// rate; slack of the requests in flight gives that back.
//
// When rate or burst change, the promise holds for the greatest values that were
// in force on any owner during the interval and the life of a token before it.
package quota
