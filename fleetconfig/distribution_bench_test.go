package fleetconfig_test

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/routing"
)

// randomName returns a name of letters and digits.
func randomName(random *rand.Rand, length int) string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := make([]byte, length)
	for i := range name {
		name[i] = alphabet[random.IntN(len(alphabet))]
	}
	return string(name)
}

// grownDocument returns a document with the given number of routes with random names on
// ten services. Documents with fewer routes have the first of them.
func grownDocument(b *testing.B, version uint64, routes int) *fleetconfig.Document {
	random := rand.New(rand.NewPCG(1, 2))
	machine := fleetconfig.NewStateMachine()
	replacement := &fleetconfig.Replacement{OperatorVersion: version, Preset: fleetconfig.Preset{Name: "p", SlowStart: time.Second}}
	for i := range 10 {
		replacement.Services = append(replacement.Services, fleetconfig.Service{
			Name: fleetconfig.ServiceName(fmt.Sprintf("%s%d", randomName(random, 6), i)), FloorPercent: 40, MaxConnections: 390})
	}
	for range routes {
		replacement.Routes = append(replacement.Routes, fleetconfig.Route{
			ID: "r-" + randomName(random, 7), Host: randomName(random, 6) + ".example", PathPrefix: "/" + randomName(random, 7),
			BelowPrefix: true, Service: replacement.Services[random.IntN(10)].Name, Idempotency: fleetconfig.IdempotentAlways,
			Timeout: time.Duration(1+random.IntN(5)) * 500 * time.Millisecond, LatencyTarget: time.Duration(1+random.IntN(6)) * 100 * time.Millisecond,
			Priority: uint32(1 + random.IntN(4)), MaxAttempts: 2,
		})
	}
	command, err := fleetconfig.EncodeCommand(&fleetconfig.Command{ChangeID: "c", Changes: []fleetconfig.Change{{Kind: fleetconfig.ReplaceAll, Replacement: replacement}}})
	must.NoError(b, err)
	result, err := fleetconfig.DecodeResult(machine.Apply(1, command))
	must.NoError(b, err)
	must.Eq(b, fleetconfig.VerdictAccepted, result.Verdict, must.Sprint(result))
	document := *machine.Document()
	document.Version = version
	return &document
}

func BenchmarkGrown(b *testing.B) {
	from, to := grownDocument(b, 1, 200), grownDocument(b, 2, 1720)
	delta := fleetconfig.Diff(from, to)
	encoded, err := codec.Marshal(delta)
	must.NoError(b, err)
	b.Run("diff", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fleetconfig.Diff(from, to)
		}
	})
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = codec.Marshal(delta)
		}
		b.ReportMetric(float64(len(encoded)), "B")
	})
	for _, level := range []int{-2, 1, 3, 5, 6, 9} {
		var buf bytes.Buffer
		b.Run(fmt.Sprint("flate", level), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				buf.Reset()
				w, _ := gzip.NewWriterLevel(&buf, level)
				_, _ = w.Write(encoded)
				_ = w.Close()
			}
			b.ReportMetric(float64(buf.Len()), "B")
		})
		b.Run(fmt.Sprint("inflate", level), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := gzip.NewReader(bytes.NewReader(buf.Bytes()))
				_, _ = io.ReadAll(r)
			}
		})
	}
	_ = flate.BestSpeed
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var d fleetconfig.Delta
			must.NoError(b, codec.Unmarshal(encoded, &d))
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := delta.Apply(from)
			must.NoError(b, err)
		}
	})
	b.Run("view", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fleetconfig.NewView(to)
		}
	})
	b.Run("table", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			routing.NewTable(to.Routes)
		}
	})
	document, _ := fleetconfig.EncodeDocument(to)
	b.Run("decodeDocument", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = fleetconfig.DecodeDocument(document)
		}
		b.ReportMetric(float64(len(document)), "B")
	})
	b.Run("validate", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fleetconfig.Validate(to)
		}
	})
}
