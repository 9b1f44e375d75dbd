package codec

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

type sample struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint"`
	List   []byte `cbor:"3,keyasint"`
}

func TestUnmarshalReturnsWhatMarshalWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := sample{
			Number: rapid.Uint64().Draw(t, "number"),
			Text:   rapid.String().Draw(t, "text"),
			List:   rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "list"),
		}
		data, err := Marshal(written)
		must.NoError(t, err)
		var read sample
		must.NoError(t, Unmarshal(data, &read))
		must.Eq(t, written, read)
	})
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var read sample
		_ = Unmarshal(data, &read)
	})
}
