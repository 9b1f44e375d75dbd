package fleetconfig_test

import (
	"fmt"
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

// BenchmarkGrownConfiguration measures the steps in which a version with 1,520 routes more than
// the 200 before comes into force: on the leader of control, on an instance that receives the
// delta, and on an instance that starts. It reports the sizes on the wire.
func BenchmarkGrownConfiguration(b *testing.B) {
	from, to := grownDocument(b, 1, 200), grownDocument(b, 2, 1720)
	delta := fleetconfig.Diff(from, to)
	encoded, err := codec.Marshal(delta)
	must.NoError(b, err)
	packed := codec.Pack(encoded)
	document, err := fleetconfig.EncodeDocument(to)
	must.NoError(b, err)
	packedDocument := codec.Pack(document)
	steps := []struct {
		name  string
		bytes int
		run   func() error
	}{
		{"diff", 0, func() error { fleetconfig.Diff(from, to); return nil }},
		{"encode", len(encoded), func() error { _, err := codec.Marshal(delta); return err }},
		{"compress", len(packed.Data), func() error { codec.Pack(encoded); return nil }},
		{"decompress", 0, func() error { _, err := packed.Unpack(); return err }},
		{"decode", 0, func() error { return codec.Unmarshal(encoded, new(fleetconfig.Delta)) }},
		{"apply", 0, func() error { _, err := delta.Apply(from); return err }},
		{"view", 0, func() error { fleetconfig.NewView(to); return nil }},
		{"route-table", 0, func() error { routing.NewTable(to.Routes); return nil }},
		{"encode-snapshot", len(document), func() error { _, err := fleetconfig.EncodeDocument(to); return err }},
		{"compress-snapshot", len(packedDocument.Data), func() error { codec.Pack(document); return nil }},
		{"decode-snapshot", 0, func() error { _, err := fleetconfig.DecodeDocument(document); return err }},
		{"validate", 0, func() error { fleetconfig.Validate(to); return nil }},
	}
	for _, step := range steps {
		b.Run(step.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				must.NoError(b, step.run())
			}
			if step.bytes > 0 {
				b.ReportMetric(float64(step.bytes), "wire-B")
			}
		})
	}
}
