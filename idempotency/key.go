package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MaxKeyBytes is the longest Idempotency-Key that is accepted, in bytes.
const MaxKeyBytes = 255

// Key names an order placement. Two accounts, or two services, never share one.
type Key struct {
	// Account is the client account that authenticated.
	Account fleetconfig.AccountID
	// Service is the service that the order is for.
	Service fleetconfig.ServiceName
	// Value is the caller's Idempotency-Key.
	Value string
}

// RecordID is the SHA-256 digest of a Key. Records are stored under it, so that
// the size of a record does not depend on the caller.
type RecordID [sha256.Size]byte

// RecordID returns the digest of the key. Each part is preceded by its length,
// so that no two keys have the same encoding.
func (k Key) RecordID() RecordID {
	return digest([]byte(k.Account), []byte(k.Service), []byte(k.Value))
}

// Fingerprint is the SHA-256 digest of an order's content.
type Fingerprint [sha256.Size]byte

// BodyDigest is the SHA-256 digest of a request body.
type BodyDigest [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. Path includes the query.
func NewFingerprint(method, path string, body BodyDigest) Fingerprint {
	return digest([]byte(method), []byte(path), body[:])
}

func digest(parts ...[]byte) [sha256.Size]byte {
	var buffer []byte
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	return sha256.Sum256(buffer)
}

// claimIDBytes is the length of a ClaimID.
const claimIDBytes = 16

// ClaimID identifies one claim. It is random, so that a message about an old
// claim never affects a newer one of the same record.
type ClaimID [claimIDBytes]byte

// NewClaimID draws a claim id. The source must not repeat over restarts.
func NewClaimID(random *rand.Rand) ClaimID {
	var id ClaimID
	binary.LittleEndian.PutUint64(id[:8], random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], random.Uint64())
	return id
}
