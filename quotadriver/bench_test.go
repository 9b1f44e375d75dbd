package quotadriver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// BenchmarkAcquireHit measures Acquire and Return of tokens that the ingress has already
// borrowed, on all processors in parallel.
func BenchmarkAcquireHit(b *testing.B) {
	var accounts []fleetconfig.Account
	for i := range 256 {
		id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
		accounts = append(accounts, fleetconfig.Account{ID: id, RatePerSecond: 1e6, Burst: 1e6})
	}
	f := newFleet(b, 1, 1, fastTiming(), accounts...)
	service := f.services[0]
	ctx := context.Background()
	for _, account := range accounts {
		waitFor(b, func() bool {
			token, err := service.Acquire(ctx, account.ID)
			service.Return(token)
			return err == nil
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i++
			token, err := service.Acquire(ctx, accounts[i%len(accounts)].ID)
			if err == nil {
				service.Return(token)
			}
		}
	})
}

// BenchmarkTrafficAtRest measures the calls and bytes between the instances, per instance
// and second, while no tokens are requested, with the default number of shards and the
// default timing.
func BenchmarkTrafficAtRest(b *testing.B) {
	for _, count := range []int{5, 22, 60} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			f := newFleet(b, count, shard.DefaultShards, shard.DefaultTiming())
			waitFor(b, func() bool {
				sum := 0
				for _, service := range f.services {
					sum += service.OwnedShards()
				}
				return sum == shard.DefaultShards
			})
			const period = 5 * time.Second
			for b.Loop() {
				calls, bytes := f.network.calls.Load(), f.network.bytes.Load()
				<-time.After(period)
				perInstance := 1 / period.Seconds() / float64(count)
				b.ReportMetric(float64(f.network.calls.Load()-calls)*perInstance, "calls/s/instance")
				b.ReportMetric(float64(f.network.bytes.Load()-bytes)*perInstance, "B/s/instance")
			}
		})
	}
}

// BenchmarkTrafficUnderLoad measures the calls and bytes per request. The requests of each
// account are spread over all ingresses, so an ingress rarely has a token of the account
// and most requests need a call to the owner.
func BenchmarkTrafficUnderLoad(b *testing.B) {
	const (
		count    = 22
		accounts = 2000
		rate     = 75 // requests per second and instance
	)
	var list []fleetconfig.Account
	for i := range accounts {
		id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
		list = append(list, fleetconfig.Account{ID: id, RatePerSecond: 10, Burst: 5})
	}
	f := newFleet(b, count, shard.DefaultShards, shard.DefaultTiming(), list...)
	waitFor(b, func() bool {
		_, err := f.services[0].Acquire(context.Background(), list[0].ID)
		return err == nil
	})
	const period = 5 * time.Second
	for b.Loop() {
		calls, bytes := f.network.calls.Load(), f.network.bytes.Load()
		granted := 0
		ticker := time.NewTicker(time.Second / rate)
		for i := range int(period.Seconds()) * rate {
			<-ticker.C
			for j, service := range f.services {
				token, err := service.Acquire(context.Background(), list[(i*count+j)*7%accounts].ID)
				if err == nil {
					granted++
					service.MarkSpent(token, 0)
				}
			}
		}
		ticker.Stop()
		must.Positive(b, granted)
		requests := period.Seconds() * rate * count
		b.ReportMetric(float64(f.network.calls.Load()-calls)/requests, "calls/request")
		b.ReportMetric(float64(f.network.bytes.Load()-bytes)/requests, "B/request")
		b.ReportMetric(float64(granted)/requests, "granted/request")
	}
}
