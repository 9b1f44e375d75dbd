// Package quota limits every client account to its rate and burst, counted over all
// instances together.
//
// The package makes decisions and does no I/O; package quotadriver sends its messages.
// The instance that holds the lease of an account's shard (package shard) is the owner
// of the account. It keeps the account's single token bucket in a BucketTable, and its
// Lender lends tokens from it to the ingresses, each of which has a Borrower. A request
// takes a token before it is forwarded; the token is spent when the request is
// dispatched to the backend server.
//
// # Guarantee
//
// Over every interval of length d, the requests that all instances together dispatch
// for an account never exceed rate × d + burst + slack, unless the active preset enables
// FallbackLimiter (Preset.QuotaGracePeriod). The slack (Preset.QuotaSlack, 0 by default)
// is how far an operator allows accounts to exceed their limits. The guarantee follows
// from these rules:
//
//   - The level of the bucket plus the lent tokens that may still be spent never
//     exceed burst + slack, and the bucket fills no faster than the rate.
//   - A lent token counts as lent until the owner learns that it was spent or returned,
//     or until it has expired.
//   - A token expires at the instance of the backend server first, then at the borrower,
//     and at the owner last. The owner counts the lifetime from when it lends the token,
//     the borrower from when it requested the token, which is earlier. The instance of
//     the backend server counts from a reading of its clock that it took before the
//     borrower received it (PeerClock). The borrower shortens the duration by
//     shard.SubtractClockDrift for each of the two steps, to allow for clock drift.
//   - No token outlives the lease of the owner that lent it. A new owner starts with an
//     empty bucket after that lease has expired, or with the state that the previous
//     owner handed over.
//
// A lent token counts against the burst until the owner learns that it was spent.
// The ingress may learn this only when it receives the response header. Without slack, an
// account whose requests take long compared with burst / rate therefore has requests
// refused although it is below its rate. A slack as large as the number of its requests in
// flight compensates for this.
//
// When the rate or burst change, the guarantee holds for the greatest values that were
// in force at any owner during the interval or during one token lifetime before it.
package quota
