//go:build linux

package size_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// BenchmarkRollout measures the time from an apply until 40 hosts, simulated in
// this process, use the new declarations, for different numbers of workspaces.
func BenchmarkRollout(b *testing.B) {
	const hosts = 40
	for _, workspaces := range []int{55, 110, 220} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			sv := kvsim.Start(b, kvsim.Config{})
			st := sv.Client(b, kvsim.Timeout)
			var fos []*conf.Follower
			for i := range hosts {
				fo := conf.NewFollower(conf.FollowerConfig{
					Store: sv.Client(b, kvsim.Timeout), Seed: uint64(i), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				})
				kvsim.Background(b, fo.Run)
				fos = append(fos, fo)
			}
			kvsim.Eventually(b, func() bool { return sv.Calls().Watch >= hosts })
			content := declarations(94, workspaces, true)
			before := sv.Calls()
			var applyTime, worst, rolloutTime time.Duration
			number := 0
			for b.Loop() {
				number++
				began := time.Now()
				revision := apply(b, st, fmt.Appendf(nil, "%s# %d\n", content, number))
				applyTime += time.Since(began)
				kvsim.Eventually(b, func() bool { return allAtRevision(fos, revision) })
				took := time.Since(began)
				worst = max(worst, took)
				rolloutTime += took
			}
			after := sv.Calls()
			count := float64(number)
			b.ReportMetric(float64(len(content)), "fileB")
			b.ReportMetric(float64(applyTime.Milliseconds())/count, "apply-ms")
			b.ReportMetric(float64(rolloutTime.Milliseconds())/count, "everywhere-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			b.ReportMetric(float64(after.Txn-before.Txn)/count, "swaps/apply")
			b.ReportMetric(float64(after.Range-before.Range)/count, "reads/apply")
		})
	}
}

// apply applies declarations and returns their revision.
func apply(b *testing.B, st store.Store, content []byte) int64 {
	b.Helper()
	cur, _, err := conf.Apply(context.Background(), time.Now(), st, conf.ApplyRequest{File: "f", Content: content, By: "operator"})
	if err != nil {
		b.Fatal(err)
	}
	return cur.Revision
}

// allAtRevision reports whether all followers have reached a revision.
func allAtRevision(fos []*conf.Follower, revision int64) bool {
	for _, fo := range fos {
		if fo.Revision() < revision {
			return false
		}
	}
	return true
}
