package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/hemlockring/hemlockring/internal/emulator"
)

// BenchmarkRequest measures requests through an ingress to the backend proxy of another
// instance, with both instances in one process.
func BenchmarkRequest(b *testing.B) {
	fleet := startFleetWith(b, 2, func(instance int) emulator.Config {
		return emulator.Config{Slots: 4096 * instance}
	})
	url := fleet.url(0, "/open")
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := fleet.client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.StatusCode)
			}
		}
	})
}
