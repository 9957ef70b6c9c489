package batch_test

import (
	"fmt"
	"testing"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// BenchmarkEncodeRecord measures the encoding of the record of a job of 94 tasks,
// most of which have ended, with some of the others starting.
func BenchmarkEncodeRecord(b *testing.B) {
	for _, starting := range []int{0, 8, 34} {
		b.Run(fmt.Sprintf("%dstarting", starting), func(b *testing.B) {
			rc := batch.Record{ID: "8b8644848c7fae15", State: batch.Running}
			for i := range 94 {
				ur := batch.UnitRecord{Index: i, Attempt: 1, Done: i < 60, Live: i >= 60}
				if ur.Live {
					ur.Workers = []string{fmt.Sprintf("i-%010x", i)}
				}
				if i >= 94-starting {
					ur.Addresses, ur.Incarnations = []string{fmt.Sprintf("10.1.64.%d:8747", i)}, []uint32{1<<21 - 1}
				}
				rc.Units = append(rc.Units, ur)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := batch.EncodeRecord(rc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
