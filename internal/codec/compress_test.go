package codec

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "part"), rapid.IntRange(1, 200).Draw(t, "times"))
		packed := Pack(written)
		must.LessEq(t, len(written), len(packed.Data))
		read, err := packed.Unpack()
		must.NoError(t, err)
		must.True(t, bytes.Equal(written, read))
	})
}

// Damaged data is never taken for other data.
func TestUnpackDetectsDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := bytes.Repeat([]byte("route r-puxsr7i of service huvo11a\n"), 100)
		packed := Pack(written)
		must.True(t, packed.Compressed)
		at := rapid.IntRange(0, len(packed.Data)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "truncate") {
			packed.Data = packed.Data[:at]
		} else {
			packed.Data[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		if read, err := packed.Unpack(); err == nil {
			// A changed comment field or time stamp leaves the content as it was.
			must.True(t, bytes.Equal(written, read))
		}
	})
}

func TestUnpackLimitsSize(t *testing.T) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	zeros := make([]byte, 1<<20)
	for range maxDecompressedBytes/len(zeros) + 1 {
		_, err := writer.Write(zeros)
		must.NoError(t, err)
	}
	must.NoError(t, writer.Close())
	_, err := (&Packed{Data: buffer.Bytes(), Compressed: true}).Unpack()
	must.ErrorContains(t, err, "larger")
}
