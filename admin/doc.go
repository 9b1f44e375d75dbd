// Package admin serves the administration API for operators: HTTP with JSON.
//
//	GET  /v1/status              version, active preset, number of items
//	GET  /v1/document            the whole configuration that this instance serves from; keys as hashes only
//	GET  /v1/accounts            and /v1/accounts/{id}
//	GET  /v1/keys                key ids with account and label
//	GET  /v1/routes              and /v1/routes/{id}
//	GET  /v1/services            and /v1/services/{id}
//	GET  /v1/presets             and /v1/presets/{id}
//	GET  /v1/history             who changed what, and when
//	GET  /v1/watch?after=VERSION the status, once the version is above VERSION or a timeout has passed
//	POST /v1/changes             a list of changes that are made together
//
// The configuration is changed only by POST /v1/changes, with the base version that the
// changes are based on and a change id. Config.Resources adds further resources, which
// may write other data. A request that is sent again with the same change id never makes
// its changes twice: it gets the result of the first request, if the first request was
// processed and its result is still stored. If the result is no longer stored, the
// response is a conflict, since the base version is outdated by then.
//
// A conflict is 409 and names the current version; an invalid change is 422 and lists
// all faults at once. When the result of a change is not known, the response is never a
// rejection: it is 503 with the type outcome-unknown, and the remedy is to send the
// change again with the same change id.
//
// Operators authenticate with a bearer token; the operators' file has only hashes of
// tokens. A viewer may read; an operator may also change accounts, keys, routes,
// services and presets; an administrator may also change holders and shards, which are
// described at fleetconfig.Document, and replace the whole configuration. Errors are
// problem documents (RFC 9457) with a remedy.
package admin
