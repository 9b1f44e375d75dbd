package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A record consists of a header of recordHeaderBytes and a payload, and is padded with
// zeros to a multiple of recordAlignment. The header fields, in little endian:
//
//	0   magic         uint32
//	4   length        uint32  bytes of the payload
//	8   syncedBefore  uint64  bytes of the file that were synced before this record
//	16  checksum      uint64  xxHash64 of the first 16 bytes and the payload
const (
	recordHeaderBytes = 24
	recordAlignment   = 8
	recordMagic       = 0x4b52_4c48
	// maxRecordBytes is the maximum size of a payload.
	maxRecordBytes = 64 << 20
)

// record is a record that was read from a file.
type record struct {
	payload []byte
	// syncedBefore is the number of bytes of the file that were synced when the record
	// was written.
	syncedBefore uint64
	// size is the size of the record in the file, including header and padding.
	size int
}

// appendRecord appends the encoded record to buffer.
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

// readRecord reads the record at the start of data; ok is false if there is no complete
// and valid record.
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
		// A record without all of its padding is incomplete: the next record would not
		// be aligned.
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

// scanResult is the result of scanRecords.
type scanResult struct {
	payloads [][]byte
	// offsets holds the position of each record.
	offsets []int64
	// validEnd is the end of the last valid record.
	validEnd int64
	// isCorrupt is set if a later record proves that data after validEnd was synced. That
	// data is then corrupt and not a torn tail.
	isCorrupt bool
}

// scanRecords reads the records of a segment up to the first invalid one. Each valid
// record states how many bytes of the file were synced when that record was written. If a
// valid record after the invalid one states more bytes than precede the invalid record,
// the segment is corrupt.
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
	result.validEnd = int64(offset)
	result.isCorrupt = provesSynced(data, offset)
	return result
}

// provesSynced reports whether a valid record after offset states that more than the
// first offset bytes of the file were synced.
func provesSynced(data []byte, offset int) bool {
	for at := offset + recordAlignment; at+recordHeaderBytes <= len(data); at += recordAlignment {
		read, ok := readRecord(data[at:])
		if ok && read.syncedBefore > uint64(offset) {
			return true
		}
	}
	return false
}
