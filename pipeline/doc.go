// Package pipeline defines what the filter chains of the ingress and of the backend
// proxy share: the Exchange that a chain handles, the Filter that handles one concern
// of an exchange, the Outcome of an attempt, and the Refusal that tells a caller why a
// request was refused and when to retry.
//
// A chain only runs its filters in order. Each guarantee of the proxy, such as
// authentication or quota, is implemented by one filter.
package pipeline
