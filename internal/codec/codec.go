// Package codec encodes the messages between instances and the records on disk
// as CBOR (RFC 8949), in its deterministic form, with limits on what it reads.
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits on a message that is read.
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

// Marshal returns the encoding of value.
func Marshal(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	return data, errors.Wrap(err, "encode CBOR")
}

// Unmarshal reads data into value. Data after the first item is an error.
func Unmarshal(data []byte, value any) error {
	return errors.Wrap(decoder.Unmarshal(data, value), "decode CBOR; the sender may run another version of hemlockring")
}
