package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

func TestRecordRoundTrip(t *testing.T) {
	small := rapid.IntRange(0, 1<<20)
	names := rapid.SliceOfN(rapid.StringMatching(`[a-z0-9-]{0,12}`), 1, 4)
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		rc := batch.Record{ID: "5c0e7a21d94b36f8", State: batch.State(rapid.IntRange(int(batch.Queued), int(batch.Cancelled)).Draw(rt, "state"))}
		rc.Finished = small.Draw(rt, "finished")
		for range rapid.IntRange(0, 3).Draw(rt, "succeeded") {
			rc.Succeeded = append(rc.Succeeded, batch.TaskRange{
				Occurrence: small.Draw(rt, "occurrence"), Step: small.Draw(rt, "step"), First: small.Draw(rt, "first"), Count: small.Draw(rt, "count"),
			})
		}
		for range rapid.IntRange(0, 5).Draw(rt, "units") {
			ur := batch.UnitRecord{
				Occurrence: small.Draw(rt, "occurrence"), Step: small.Draw(rt, "step"), Index: small.Draw(rt, "index"),
				Attempt: small.Draw(rt, "attempt"), Failures: small.Draw(rt, "failures"), Checkpoint: rapid.String().Draw(rt, "checkpoint"),
				Live: rapid.Bool().Draw(rt, "live"), Done: rapid.Bool().Draw(rt, "done"),
			}
			for range rapid.IntRange(0, 3).Draw(rt, "failedAttempts") {
				ur.FailedAttempts = append(ur.FailedAttempts, small.Draw(rt, "failedAttempt"))
			}
			if ur.Live {
				ur.Workers = names.Draw(rt, "workers")
				ur.Addresses = rapid.SliceOfN(rapid.SampledFrom([]string{"", "10.1.64.7:8747", "[fd00::1]:80"}), 1, 4).Draw(rt, "addresses")
				ur.Incarnations = rapid.SliceOfN(rapid.Uint32(), 1, 4).Draw(rt, "incarnations")
			}
			if ur.Failures > 0 {
				ur.FailedOn = names.Draw(rt, "failedOn")
			}
			for range rapid.IntRange(0, 2).Draw(rt, "crashes") {
				millis := rapid.Custom(func(rt *rapid.T) time.Duration { return time.Duration(small.Draw(rt, "millis")) * time.Millisecond })
				ur.Crashes = append(ur.Crashes, batch.TaskCrashes{
					Index: small.Draw(rt, "task"), Count: small.Draw(rt, "count"), Confirmed: small.Draw(rt, "confirmed"), Suspected: small.Draw(rt, "suspected"),
					MinAge: millis.Draw(rt, "minAge"), MaxAge: millis.Draw(rt, "maxAge"),
					Lone: small.Draw(rt, "lone"), LoneAge: millis.Draw(rt, "loneAge"),
				})
			}
			rc.Units = append(rc.Units, ur)
		}
		for range rapid.IntRange(0, 2).Draw(rt, "repeated") {
			ti := batch.TaskID{Job: rc.ID, Occurrence: small.Draw(rt, "occurrence"), Step: small.Draw(rt, "step"), Index: small.Draw(rt, "index")}
			rc.RepeatedStarts = append(rc.RepeatedStarts, batch.RepeatedStart{Task: ti, Attempt: small.Draw(rt, "attempt"), Worker: rapid.String().Draw(rt, "worker")})
		}
		data, err := batch.EncodeRecord(rc)
		is.NoErr(err)
		got, err := batch.DecodeRecord(data)
		is.NoErr(err)
		is.Equal(got, rc)
	})
}

// TestRecordsAreSmall limits the record of a job with 100 tasks, 60 of which
// are done, to 2000 bytes. A host that becomes the scheduler reads hundreds of
// records over its own link.
func TestRecordsAreSmall(t *testing.T) {
	is := is.New(t)
	rc := batch.Record{ID: "5c0e7a21d94b36f8", State: batch.Running}
	for i := range 100 {
		ur := batch.UnitRecord{Index: i, Attempt: 1, Done: i < 60, Live: i >= 60}
		if ur.Live {
			ur.Workers = []string{fmt.Sprintf("i-%010x", i)}
			ur.Addresses = []string{fmt.Sprintf("10.1.64.%d:8747", i)}
			ur.Incarnations = []uint32{1<<21 - 1}
		}
		rc.Units = append(rc.Units, ur)
	}
	data, err := batch.EncodeRecord(rc)
	is.NoErr(err)
	is.True(len(data) <= 2000)
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	for _, bad := range []string{"", "?", `{"id":"a","state":1}`, "\x0a\x01a", "\x0a\x01a\x10\x09", "\x10\x01"} {
		if rc, err := batch.DecodeRecord([]byte(bad)); err == nil {
			t.Errorf("%q was decoded as %v", bad, rc)
		}
	}
}
