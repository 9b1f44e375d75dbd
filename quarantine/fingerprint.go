package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"
	"sync"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// MaxBodyBytes is how much of a body, in bytes, a fingerprint covers. Longer bodies with
	// the same beginning and the same declared length have the same fingerprint.
	MaxBodyBytes = 64 << 10
	// headBytes is the size of the part of a fingerprint that does not depend on the body.
	headBytes = 8
	// fingerprintBytes is the size of a fingerprint.
	fingerprintBytes = 16
	// keyLabel separates the key of fingerprints from other uses of the fleet's secret.
	keyLabel = "hemlockring request fingerprint 1"
)

// Fingerprint identifies a request by its content: the service, the client account, the
// method, the host, the path with its query, and the body. It does not depend on the request
// ID, an idempotency key or other headers. Its first bytes are the HeadFingerprint.
type Fingerprint [fingerprintBytes]byte

// HeadFingerprint identifies a request by its content without the body.
type HeadFingerprint [headBytes]byte

// Head returns the part that does not depend on the body.
func (f Fingerprint) Head() HeadFingerprint { return HeadFingerprint(f[:headBytes]) }

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String. It returns false for any other text.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var fingerprint Fingerprint
	if len(text) != hex.EncodedLen(len(fingerprint)) {
		return Fingerprint{}, false
	}
	_, err := hex.Decode(fingerprint[:], []byte(text))
	return fingerprint, err == nil
}

// Key is the secret under which requests are fingerprinted, so that nobody outside the fleet
// can compute or collide a fingerprint.
type Key [sha256.Size]byte

// DeriveKey returns the key that belongs to a secret of the fleet.
func DeriveKey(secret []byte) Key {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(keyLabel))
	return Key(mac.Sum(nil))
}

// Content is what a fingerprint covers besides the body.
type Content struct {
	// Service is the service that runs the request.
	Service fleetconfig.ServiceName
	// Account is the client account of the request, empty if it has none.
	Account fleetconfig.AccountID
	// Method and Target are those of the request; Target is the path with its query. Host is
	// the name of its virtual host, empty if it has none.
	Method, Host, Target string
	// DeclaredLength is the length of the body in bytes, or negative if it is not declared.
	DeclaredLength int64
}

// Hasher computes the fingerprint of one request while its body is read. It is safe for
// concurrent use.
type Hasher struct {
	content Content
	head    HeadFingerprint

	mu    sync.Mutex
	mac   hash.Hash
	bytes int64
	ended bool
}

// NewHasher returns the hasher of a request.
func (k *Key) NewHasher(content Content) *Hasher {
	hasher := &Hasher{content: content, mac: hmac.New(sha256.New, k[:])}
	for _, field := range []string{string(content.Service), string(content.Account), content.Method, strings.ToLower(content.Host), content.Target} {
		hasher.writeNumber(int64(len(field)))
		hasher.mac.Write([]byte(field))
	}
	var sum [sha256.Size]byte
	hasher.head = HeadFingerprint(hasher.mac.Sum(sum[:0])[:headBytes])
	return hasher
}

func (h *Hasher) writeNumber(number int64) {
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], uint64(number))
	h.mac.Write(text[:])
}

// Content returns what the hasher was created with.
func (h *Hasher) Content() Content { return h.content }

// Head returns the part of the fingerprint that does not depend on the body.
func (h *Hasher) Head() HeadFingerprint { return h.head }

// Write adds the next bytes of the body. It never fails.
func (h *Hasher) Write(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if room := MaxBodyBytes - h.bytes; room > 0 {
		h.mac.Write(data[:min(int64(len(data)), room)])
	}
	h.bytes += int64(len(data))
	return len(data), nil
}

// End records that the body has ended.
func (h *Hasher) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}

// Sum returns the fingerprint. It returns false while as much of the body as the fingerprint
// covers has not been written.
func (h *Hasher) Sum() (Fingerprint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	length := h.bytes
	switch {
	case h.bytes > MaxBodyBytes || (h.bytes == MaxBodyBytes && h.content.DeclaredLength > MaxBodyBytes):
		length = max(h.content.DeclaredLength, MaxBodyBytes+1)
	case !h.ended && h.bytes != h.content.DeclaredLength:
		return Fingerprint{}, false
	}
	var sum [sha256.Size]byte
	// Sum does not change the state of the hash, so the length is added to its result.
	digest := h.mac.Sum(sum[:0])
	digest = binary.BigEndian.AppendUint64(digest, uint64(length))
	total := sha256.Sum256(digest)
	var fingerprint Fingerprint
	copy(fingerprint[:], h.head[:])
	copy(fingerprint[headBytes:], total[:])
	return fingerprint, true
}
