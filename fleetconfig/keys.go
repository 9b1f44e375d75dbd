package fleetconfig

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/bits"
	"slices"

	"github.com/cockroachdb/errors"
)

// prefix returns, as a number, the bytes of the hash that form the key id.
func (h *KeyHash) prefix() uint64 {
	return binary.BigEndian.Uint64(h[:keyIDBytes])
}

func (h KeyHash) sameID(other KeyHash) bool {
	return h.prefix() == other.prefix()
}

// parseKeyID returns the number that a key id encodes.
func parseKeyID(id KeyID) (uint64, bool) {
	var raw [keyIDBytes]byte
	if len(id) != hex.EncodedLen(keyIDBytes) {
		return 0, false
	}
	if _, err := hex.Decode(raw[:], []byte(id)); err != nil {
		return 0, false
	}
	return binary.BigEndian.Uint64(raw[:]), true
}

// findKeyID finds the key with the given id in keys that are ordered by hash.
func findKeyID(keys []Key, id KeyID) (KeyHash, bool) {
	prefix, valid := parseKeyID(id)
	if !valid {
		return KeyHash{}, false
	}
	at, found := slices.BinarySearchFunc(keys, prefix, func(key Key, prefix uint64) int {
		switch own := key.Hash.prefix(); {
		case own < prefix:
			return -1
		case own > prefix:
			return 1
		}
		return 0
	})
	if !found {
		return KeyHash{}, false
	}
	return keys[at].Hash, true
}

// MarshalText returns the digest in hexadecimal, for JSON.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText parses a digest in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.Newf("a key hash has %d hexadecimal digits, not %d; send the SHA-256 digest of the key",
			hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return errors.Wrap(err, "a key hash is the SHA-256 digest in hexadecimal digits")
}

// keyIndex looks up keys by the first bits of their hash. The keys of a document are
// ordered by hash, and hashes are uniformly distributed. There are one to two buckets
// per key, so a lookup scans only a few keys. A bucket takes four bytes.
type keyIndex struct {
	keys   []Key
	shift  int
	starts []uint32
}

// newKeyIndex returns the index of keys, which must be ordered by hash.
func newKeyIndex(keys []Key) keyIndex {
	bucketBits := bits.Len(uint(len(keys)))
	index := keyIndex{
		keys:   keys,
		shift:  64 - bucketBits,
		starts: make([]uint32, 1<<bucketBits+1),
	}
	next := 0
	for bucket := range index.starts {
		for next < len(keys) && keys[next].Hash.prefix()>>index.shift < uint64(bucket) {
			next++
		}
		index.starts[bucket] = uint32(next)
	}
	return index
}

// bucket returns the keys whose first bits equal those of the prefix.
func (x *keyIndex) bucket(prefix uint64) []Key {
	if len(x.keys) == 0 {
		return nil
	}
	bucket := prefix >> x.shift
	return x.keys[x.starts[bucket]:x.starts[bucket+1]]
}

func (x *keyIndex) byHash(hash *KeyHash) *Key {
	keys := x.bucket(hash.prefix())
	for i := range keys {
		if bytes.Equal(keys[i].Hash[:], hash[:]) {
			return &keys[i]
		}
	}
	return nil
}

func (x *keyIndex) byID(id KeyID) *Key {
	prefix, valid := parseKeyID(id)
	if !valid {
		return nil
	}
	keys := x.bucket(prefix)
	for i := range keys {
		if keys[i].Hash.prefix() == prefix {
			return &keys[i]
		}
	}
	return nil
}
