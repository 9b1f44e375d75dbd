package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A record is a header of recordHeaderBytes and a payload, padded to a multiple
// of recordAlignment. The header, in little endian:
//
//	0   magic         uint32
//	4   length        uint32  bytes of the payload
//	8   syncedBefore  uint64  bytes of the file that were synced before this record
//	16  checksum      uint64  xxHash64 of all the rest, padding excluded
const (
	recordHeaderBytes = 24
	recordAlignment   = 8
	recordMagic       = 0x4b52_4c48
	// maxRecordBytes bounds the payload.
	maxRecordBytes = 64 << 20
)

// record is one record as it was read.
type record struct {
	payload []byte
	// syncedBefore proves that so many bytes of the file were synced when the
	// record was written.
	syncedBefore uint64
	// size is what the record takes in the file.
	size int
}

// appendRecord appends a record to a buffer.
func appendRecord(buffer, payload []byte, syncedBefore uint64) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, recordMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, syncedBefore)
	sum := recordChecksum(buffer[start:start+16], payload)
	buffer = binary.LittleEndian.AppendUint64(buffer, sum)
	buffer = append(buffer, payload...)
	for (len(buffer)-start)%recordAlignment != 0 {
		buffer = append(buffer, 0)
	}
	return buffer
}

func recordChecksum(head, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(head)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readRecord reads the record at the start of data; ok is false if there is no
// whole, sound one.
func readRecord(data []byte) (read record, ok bool) {
	if len(data) < recordHeaderBytes || binary.LittleEndian.Uint32(data) != recordMagic {
		return record{}, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxRecordBytes || length > len(data)-recordHeaderBytes {
		return record{}, false
	}
	size := recordHeaderBytes + length
	size += (recordAlignment - size%recordAlignment) % recordAlignment
	if size > len(data) {
		// Without all of its padding, the next record would not be aligned.
		return record{}, false
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+length]
	if recordChecksum(data[:16], payload) != binary.LittleEndian.Uint64(data[16:]) {
		return record{}, false
	}
	return record{
		payload:      payload,
		syncedBefore: binary.LittleEndian.Uint64(data[8:]),
		size:         size,
	}, true
}

// scanResult is what scanRecords found in a segment.
type scanResult struct {
	payloads [][]byte
	// offsets are where the records begin.
	offsets []int64
	// end is where the sound records end.
	end int64
	// wasSynced tells whether what follows end was synced once, so that it is
	// damage rather than a torn tail.
	wasSynced bool
}

// scanRecords reads the records of a segment up to the first that is not sound.
// A later sound record proves how much of the file was synced when it was
// written: if that includes the unsound one, it is damage.
func scanRecords(data []byte) scanResult {
	var result scanResult
	offset := 0
	for offset < len(data) {
		read, ok := readRecord(data[offset:])
		if !ok {
			break
		}
		result.payloads = append(result.payloads, read.payload)
		result.offsets = append(result.offsets, int64(offset))
		offset += read.size
	}
	result.end = int64(offset)
	result.wasSynced = provesSynced(data, offset)
	return result
}

// provesSynced tells whether any sound record after offset was written when more
// than offset bytes of the file were synced.
func provesSynced(data []byte, offset int) bool {
	for at := offset + recordAlignment; at+recordHeaderBytes <= len(data); at += recordAlignment {
		read, ok := readRecord(data[at:])
		if ok && read.syncedBefore > uint64(offset) {
			return true
		}
	}
	return false
}
