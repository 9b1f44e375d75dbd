// Package pipeline defines what the two filter chains of hemlockring share: the
// Exchange that travels through a chain, the Filter that handles one concern of
// it, the Outcome that an attempt ends in, and the Refusal that tells a caller
// why a request was given up and when to come back.
//
// The ingress chain and the backend proxy chain are both built from this
// package. The proxy only walks the chain; each promise is one small filter.
package pipeline
