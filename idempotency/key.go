package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MaxKeyBytes is the maximum length of an Idempotency-Key, in bytes.
const MaxKeyBytes = 255

// Key identifies an order. Keys of different accounts or services never
// collide.
type Key struct {
	// Account is the authenticated client account.
	Account fleetconfig.AccountID
	// Service is the service that the order is sent to.
	Service fleetconfig.ServiceName
	// Value is the caller's Idempotency-Key.
	Value string
}

// RecordID is the SHA-256 digest of a Key. It identifies the record of an
// order, so that the size of a record does not depend on the length of the
// caller's key.
type RecordID [sha256.Size]byte

// RecordID returns the digest of the key. Each part is preceded by its length,
// so that two different keys never have the same encoding.
func (k Key) RecordID() RecordID {
	return digest([]byte(k.Account), []byte(k.Service), []byte(k.Value))
}

// Fingerprint is the SHA-256 digest of an order's content.
type Fingerprint [sha256.Size]byte

// BodyDigest is the SHA-256 digest of a request body.
type BodyDigest [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. Path includes the query
// string.
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

const claimIDBytes = 16

// ClaimID identifies one claim. It is random, so that a late message about an
// old claim never affects a newer claim on the same record.
type ClaimID [claimIDBytes]byte

// NewClaimID returns a random claim ID. The random source must not repeat its
// sequence after a restart.
func NewClaimID(random *rand.Rand) ClaimID {
	var id ClaimID
	binary.LittleEndian.PutUint64(id[:8], random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], random.Uint64())
	return id
}
