package fleetconfig

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// PackedDelta is an encoded and compressed delta. It is immutable, so that an instance that
// received it sends it on without encoding it again.
type PackedDelta struct {
	// From and To are those of the delta.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Encoded is the delta.
	Encoded codec.Packed `cbor:"3,keyasint"`
}

// Pack encodes the delta.
func (d *Delta) Pack() (*PackedDelta, error) {
	data, err := codec.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "delta of the configuration")
	}
	return &PackedDelta{From: d.From, To: d.To, Encoded: codec.Pack(data)}, nil
}

// Unpack returns the delta. It returns an error if the data is damaged or contains the
// delta of other versions.
func (p *PackedDelta) Unpack() (*Delta, error) {
	data, err := p.Encoded.Unpack()
	if err != nil {
		return nil, errors.Wrap(err, "delta of the configuration")
	}
	delta := new(Delta)
	if err := codec.Unmarshal(data, delta); err != nil {
		return nil, errors.Wrap(err, "delta of the configuration")
	}
	if delta.From != p.From || delta.To != p.To {
		return nil, errors.Newf("the delta from version %d to %d contains one from %d to %d", p.From, p.To, delta.From, delta.To)
	}
	return delta, nil
}
