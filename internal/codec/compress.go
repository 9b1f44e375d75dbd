package codec

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// minCompressedBytes is the size from which on data is compressed. The header and the
	// checksum of gzip take 18 bytes.
	minCompressedBytes = 512
	// fastBytes is the size from which on data is compressed fast rather than well. A snapshot
	// of that size consists mostly of digests, and an instance with a fraction of a core may
	// have to compress it for each receiver.
	fastBytes = 1 << 20
	// maxDecompressedBytes limits the memory that damaged data can claim. It is the maximum
	// size of a call between instances.
	maxDecompressedBytes = 64 << 20
)

// Packed is data that is compressed if that makes it smaller.
type Packed struct {
	// Data is the data, in the format of gzip (RFC 1952) if Compressed is set.
	Data []byte `cbor:"1,keyasint"`
	// Compressed reports whether Data is compressed.
	Compressed bool `cbor:"2,keyasint,omitempty"`
}

// Pack compresses data of 512 bytes or more if that makes it smaller. The result may share
// the memory of data.
func Pack(data []byte) Packed {
	if len(data) < minCompressedBytes {
		return Packed{Data: data}
	}
	level := gzip.DefaultCompression
	if len(data) >= fastBytes {
		level = gzip.BestSpeed
	}
	var buffer bytes.Buffer
	// The level is valid and a bytes.Buffer returns no error.
	writer, _ := gzip.NewWriterLevel(&buffer, level)
	_, _ = writer.Write(data)
	_ = writer.Close()
	if buffer.Len() >= len(data) {
		return Packed{Data: data}
	}
	return Packed{Data: bytes.Clone(buffer.Bytes()), Compressed: true}
}

// Unpack returns the data. It returns an error if compressed data does not match its
// checksum, is incomplete or has more than 64 MiB.
func (p *Packed) Unpack() ([]byte, error) {
	if !p.Compressed {
		return p.Data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errors.Newf("decompressed data is larger than %d bytes", maxDecompressedBytes)
	}
	return data, nil
}
