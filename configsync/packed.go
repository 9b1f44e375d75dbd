package configsync

import (
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// maxPackedDeltas is the number of packed deltas that are kept: the one to the latest version
// from the version before it, and those for instances that missed a few versions.
const maxPackedDeltas = 8

// packedDeltas keeps the latest deltas in the form in which they are sent, so that each is
// encoded once and not for each receiver. It is guarded by Service.mu.
type packedDeltas struct{ deltas []*fleetconfig.PackedDelta }

// add keeps a delta.
func (p *packedDeltas) add(delta *fleetconfig.PackedDelta) {
	if _, found := p.find(delta.From, delta.To); found {
		return
	}
	if len(p.deltas) >= maxPackedDeltas {
		p.deltas = slices.Delete(p.deltas, 0, 1)
	}
	p.deltas = append(p.deltas, delta)
}

func (p *packedDeltas) find(from, to uint64) (*fleetconfig.PackedDelta, bool) {
	for _, delta := range p.deltas {
		if delta.From == from && delta.To == to {
			return delta, true
		}
	}
	return nil, false
}

// deltaSince returns the packed delta between two versions, or nil if this instance does not
// have it. The caller holds mu.
func (s *Service) deltaSince(from, to uint64) *fleetconfig.PackedDelta {
	if packed, found := s.packed.find(from, to); found {
		return packed
	}
	delta, found := s.deltas.Since(from, to)
	if !found {
		return nil
	}
	packed, err := delta.Pack()
	if err != nil {
		s.config.Logger.Error("encoding a configuration delta failed; instances fetch snapshots instead", "version", to, "error", err)
		return nil
	}
	s.packed.add(packed)
	return packed
}

// maxKeptSnapshotBytes is the size up to which a packed snapshot is kept for the next
// instance that asks. Snapshots with tens of thousands of accounts are larger; keeping one
// would cost more memory than encoding it costs time.
const maxKeptSnapshotBytes = 1 << 20

// packedSnapshot is a document in the form in which it is sent.
type packedSnapshot struct {
	version uint64
	packed  codec.Packed
}

// packSnapshot returns the packed document, and keeps it if it is small. It packs one at a time,
// so that instances that ask together do not cause it to be packed for each.
func (s *Service) packSnapshot(document *fleetconfig.Document) (codec.Packed, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if s.snapshot.version == document.Version && s.snapshot.packed.Data != nil {
		return s.snapshot.packed, nil
	}
	data, err := fleetconfig.EncodeDocument(document)
	if err != nil {
		return codec.Packed{}, err
	}
	packed := codec.Pack(data)
	if len(packed.Data) <= maxKeptSnapshotBytes {
		s.snapshot = packedSnapshot{version: document.Version, packed: packed}
	}
	return packed, nil
}
