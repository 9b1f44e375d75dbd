// Package codec encodes messages between instances and records on disk as deterministic
// CBOR (RFC 8949). When decoding, it limits the size and nesting of arrays and maps.
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits for decoded data.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNestedLevels  = 16
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeUnixMicro
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the CBOR encoding of value.
func Marshal(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	return data, errors.Wrap(err, "encode CBOR")
}

// Unmarshal decodes data into value. It returns an error if bytes follow the first CBOR
// item.
func Unmarshal(data []byte, value any) error {
	return errors.Wrap(decoder.Unmarshal(data, value), "decode CBOR; the sender may run another version of hemlockring")
}
