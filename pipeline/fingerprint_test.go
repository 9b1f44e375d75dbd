package pipeline

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/quarantine"
)

// Callers may address instances by their IP addresses.
func TestAddressOfInstanceIsNoPartOfFingerprint(t *testing.T) {
	for host, want := range map[string]string{
		"127.0.0.5:8080": "", "10.0.0.1": "", "[::1]:80": "", "[::1]": "", "shop.example:8080": "shop.example", "shop.example": "shop.example",
	} {
		request := httptest.NewRequest(http.MethodGet, "/a?b", nil)
		request.Host = host
		content := FingerprintedContent(&Exchange{Request: request})
		must.Eq(t, want, content.Host)
		must.Eq(t, "/a?b", content.Target)
	}
}

func TestBodyIsCompleteAfterFingerprint(t *testing.T) {
	for _, size := range []int{0, 1, 1000, quarantine.MaxBodyBytes, quarantine.MaxBodyBytes + 1, 3 * quarantine.MaxBodyBytes} {
		body := strings.Repeat("x", size)
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		key := quarantine.DeriveKey(nil)
		hasher := key.NewHasher(FingerprintedContent(&Exchange{Request: request}))
		must.NoError(t, FingerprintBody(request, hasher))
		_, known := hasher.Sum()
		must.True(t, known, must.Sprint(size))
		read, err := io.ReadAll(request.Body)
		must.NoError(t, err)
		must.EqOp(t, body, string(read))
	}
}

func TestBrokenBodyHasNoFingerprint(t *testing.T) {
	request := httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(errors.New("broken")))
	request.ContentLength = 10
	key := quarantine.DeriveKey(nil)
	hasher := key.NewHasher(FingerprintedContent(&Exchange{Request: request}))
	must.Error(t, FingerprintBody(request, hasher))
	_, known := hasher.Sum()
	must.False(t, known)
}
