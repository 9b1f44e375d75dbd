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
// dispatched for an account never exceed rate × d + burst. It holds because
//
//   - the level of the bucket and the tokens that are lent and may still be
//     dispatched never exceed the burst together, and the bucket fills no faster
//     than the rate;
//   - a lent token counts as such until the owner hears that it was spent or given
//     back, or until it has expired;
//   - a token expires at the borrower, and at the instance of the backend server,
//     before it expires at the owner: each counts from before the moment the other
//     counts from, and shortens the time by shard.HolderTime;
//   - no token outlives the lease of the owner that lent it, and a new owner starts
//     with an empty bucket after that lease, or with the state that the old owner
//     has handed over.
//
// When rate or burst change, the promise holds for the greatest values that were
// in force on any owner during the interval and the life of a token before it.
package quota
