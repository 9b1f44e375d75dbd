// Package admin serves the administration API: HTTP with JSON, for operators.
//
//	GET  /v1/status              version, preset in force, sizes
//	GET  /v1/document            the whole document as this instance serves it; keys as hashes only
//	GET  /v1/accounts            and /v1/accounts/{id}
//	GET  /v1/keys                key ids with account and label
//	GET  /v1/routes              and /v1/routes/{id}
//	GET  /v1/services            and /v1/services/{id}
//	GET  /v1/presets             and /v1/presets/{id}
//	GET  /v1/history             who changed what, and when
//	GET  /v1/watch?after=VERSION the status, once the version is above VERSION
//	POST /v1/changes             a list of changes that are made together
//
// Every write is a POST of changes with the base version that they were made from
// and a change id. The same id again gives the same answer again. A conflict is
// 409 and names the version in force; faults are 422, all at once. A lost answer
// is never reported as a rejection: it is 503 with the type outcome-unknown, and
// the remedy is to send the change again with the same change id.
//
// Operators show a bearer token. Only hashes of tokens are in the settings. A
// viewer reads; an operator also changes accounts, keys, routes, services and
// presets; an administrator also changes holders and shards. Errors are problem
// documents (RFC 9457) with a remedy.
package admin
