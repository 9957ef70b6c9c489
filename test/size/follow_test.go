//go:build linux

package size_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// BenchmarkFollow measures the store traffic of a host that follows unchanging
// declarations, for different numbers of workspaces.
func BenchmarkFollow(b *testing.B) {
	const (
		hosts = 40
		span  = 20 * time.Second
	)
	for _, workspaces := range []int{55, 110, 220} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			kv := spawn(b, childConfig{Role: roleStore})
			open := func() *store.Client {
				st := store.New(store.Config{Addresses: []string{kv.address}, Timeout: kvsim.Timeout})
				b.Cleanup(st.Close)
				return st
			}
			content := []byte(declarations(94, workspaces, true))
			revision := apply(b, open(), content)
			var fos []*conf.Follower
			for i := range hosts {
				fo := conf.NewFollower(conf.FollowerConfig{Store: open(), Seed: uint64(i), Log: discardLog})
				kvsim.Background(b, fo.Run)
				fos = append(fos, fo)
			}
			kvsim.Eventually(b, func() bool { return allAtRevision(fos, revision) })
			for b.Loop() {
				used, calls := kv.usage(b), kv.calls(b)
				time.Sleep(span)
				bytes := kv.usage(b).bytes - used.bytes
				reads := kv.calls(b).Range - calls.Range
				b.ReportMetric(float64(len(content)), "fileB")
				b.ReportMetric(bytes/hosts/span.Seconds(), "B/s/host")
				b.ReportMetric(float64(reads)/hosts/span.Seconds(), "reads/s/host")
			}
		})
	}
}
