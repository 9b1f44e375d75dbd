package quarantine

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func sumOf(t must.T, key Key, content Content, body []byte, chunk int) Fingerprint {
	hasher := key.NewHasher(content)
	for len(body) > 0 {
		n := min(chunk, len(body))
		_, _ = hasher.Write(body[:n])
		body = body[n:]
	}
	hasher.End()
	fingerprint, known := hasher.Sum()
	must.True(t, known)
	must.Eq(t, hasher.Head(), fingerprint.Head())
	return fingerprint
}

func TestFingerprintDependsOnContentAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := DeriveKey([]byte("secret"))
		content := Content{Service: "s", Account: "a", Method: "POST", Host: "h", Target: rapid.String().Draw(t, "target")}
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		content.DeclaredLength = int64(len(body))
		whole := sumOf(t, key, content, body, len(body)+1)
		chunked := content
		chunked.DeclaredLength = -1
		must.Eq(t, whole, sumOf(t, key, chunked, body, rapid.IntRange(1, 50).Draw(t, "chunk")))

		other := content
		other.Account = "b"
		must.NotEq(t, whole, sumOf(t, key, other, body, 100))
		must.NotEq(t, whole, sumOf(t, DeriveKey([]byte("other")), content, body, 100))
		longer := content
		longer.DeclaredLength++
		must.NotEq(t, whole, sumOf(t, key, longer, append(bytes.Clone(body), 0), 100))
		parsed, ok := ParseFingerprint(whole.String())
		must.True(t, ok)
		must.Eq(t, whole, parsed)
	})
}

// Fields must not run into each other.
func TestFingerprintSeparatesFields(t *testing.T) {
	key := DeriveKey(nil)
	must.NotEq(t,
		sumOf(t, key, Content{Host: "ab", Target: "c"}, nil, 1),
		sumOf(t, key, Content{Host: "a", Target: "bc"}, nil, 1))
	must.NotEq(t, sumOf(t, key, Content{Target: "/"}, []byte("x"), 1), sumOf(t, key, Content{Target: "/x"}, nil, 1))
}

func TestFingerprintOfUnfinishedBodyUnknown(t *testing.T) {
	key := DeriveKey(nil)
	hasher := key.NewHasher(Content{DeclaredLength: 3})
	_, _ = hasher.Write([]byte("ab"))
	_, known := hasher.Sum()
	must.False(t, known)
	_, _ = hasher.Write([]byte("c"))
	_, known = hasher.Sum()
	must.True(t, known)
}

func TestFingerprintOfLargeBodyCoversBeginningAndLength(t *testing.T) {
	key := DeriveKey(nil)
	sum := func(length int, last byte) Fingerprint {
		body := make([]byte, length)
		body[len(body)-1] = last
		return sumOf(t, key, Content{DeclaredLength: int64(length)}, body, 1000)
	}
	must.Eq(t, sum(MaxBodyBytes+10, 1), sum(MaxBodyBytes+10, 2))
	must.NotEq(t, sum(MaxBodyBytes+10, 1), sum(MaxBodyBytes+11, 1))
	must.NotEq(t, sum(MaxBodyBytes, 1), sum(MaxBodyBytes, 2))
}

func BenchmarkFingerprint(b *testing.B) {
	key := DeriveKey(nil)
	body := make([]byte, 300)
	for b.Loop() {
		hasher := key.NewHasher(Content{Service: "catalogue", Account: "acme", Method: "POST", Host: "shop.example", Target: "/orders/list", DeclaredLength: int64(len(body))})
		_, _ = hasher.Write(body)
		hasher.Sum()
	}
}
