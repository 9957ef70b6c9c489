package batch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// EncodeRecord returns the stored form of a record, a wire.Progress. It is kept
// small: a record is written at every change of its job, and all of them are read
// whenever another host becomes the scheduler, possibly over slow links.
func EncodeRecord(rc Record) ([]byte, error) {
	units := make([]wire.UnitProgress, len(rc.Units)) // in one allocation
	msg := &wire.Progress{
		Id: rc.ID, State: uint32(rc.State), Finished: uint32(rc.Finished), Units: make([]*wire.UnitProgress, len(rc.Units)),
	}
	for _, tr := range rc.Succeeded {
		msg.Succeeded = append(msg.Succeeded, &wire.SucceededTasks{
			Occurrence: uint32(tr.Occurrence), Step: uint32(tr.Step), First: uint32(tr.First), Count: uint32(tr.Count),
		})
	}
	for _, rs := range rc.RepeatedStarts {
		msg.RepeatedStarts = append(msg.RepeatedStarts, &wire.RepeatedStart{
			Occurrence: uint32(rs.Task.Occurrence), Step: uint32(rs.Task.Step), Index: uint32(rs.Task.Index), Attempt: uint32(rs.Attempt), Worker: rs.Worker,
		})
	}
	for i, ur := range rc.Units {
		units[i] = wire.UnitProgress{
			Occurrence: uint32(ur.Occurrence), Step: uint32(ur.Step), Index: uint32(ur.Index),
			Attempt: uint32(ur.Attempt), Failures: uint32(ur.Failures), Workers: ur.Workers,
			Checkpoint: ur.Checkpoint, Live: ur.Live, Done: ur.Done, FailedOn: ur.FailedOn,
			Counted: slices.Contains(ur.FailedAttempts, ur.Attempt), FailedAttempts: encodeAttempts(ur.FailedAttempts),
			Addresses: encodeAddresses(ur.Addresses), Incarnations: ur.Incarnations, Crashes: encodeCrashes(ur.Crashes),
		}
		msg.Units[i] = &units[i]
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	return data, merry.Prepend(err, "encode a record")
}

// DecodeRecord parses the stored form of a record. It rejects a record without an
// ID or with an unknown state.
func DecodeRecord(data []byte) (Record, error) {
	var msg wire.Progress
	if err := proto.Unmarshal(data, &msg); err != nil {
		return Record{}, merry.Prepend(err, "decode a stored record")
	}
	rc := Record{ID: msg.GetId(), State: State(msg.GetState()), Finished: int(msg.GetFinished())}
	if rc.ID == "" || rc.State < Queued || rc.State > Cancelled {
		return Record{}, merry.New("stored record has no ID or an unknown state")
	}
	for _, st := range msg.GetSucceeded() {
		rc.Succeeded = append(rc.Succeeded, TaskRange{
			Occurrence: int(st.GetOccurrence()), Step: int(st.GetStep()), First: int(st.GetFirst()), Count: int(st.GetCount()),
		})
	}
	for _, rs := range msg.GetRepeatedStarts() {
		ti := TaskID{Job: rc.ID, Occurrence: int(rs.GetOccurrence()), Step: int(rs.GetStep()), Index: int(rs.GetIndex())}
		rc.RepeatedStarts = append(rc.RepeatedStarts, RepeatedStart{Task: ti, Attempt: int(rs.GetAttempt()), Worker: rs.GetWorker()})
	}
	for _, un := range msg.GetUnits() {
		rc.Units = append(rc.Units, UnitRecord{
			Occurrence: int(un.GetOccurrence()), Step: int(un.GetStep()), Index: int(un.GetIndex()),
			Attempt: int(un.GetAttempt()), Failures: int(un.GetFailures()), Workers: un.GetWorkers(),
			Checkpoint: un.GetCheckpoint(), Live: un.GetLive(), Done: un.GetDone(),
			FailedOn: un.GetFailedOn(), FailedAttempts: decodeAttempts(un),
			Addresses: decodeAddresses(un.GetAddresses()), Incarnations: un.GetIncarnations(), Crashes: decodeCrashes(un.GetCrashes()),
		})
	}
	return rc, nil
}

func encodeAttempts(attempts []int) []uint32 {
	var nums []uint32
	for _, at := range attempts {
		nums = append(nums, uint32(at))
	}
	return nums
}

// decodeAttempts returns the attempts that the failures of a unit include. Former
// versions have written only whether the last one is among them.
func decodeAttempts(un *wire.UnitProgress) []int {
	var attempts []int
	for _, num := range un.GetFailedAttempts() {
		attempts = append(attempts, int(num))
	}
	if len(attempts) == 0 && un.GetCounted() {
		attempts = append(attempts, int(un.GetAttempt()))
	}
	return attempts
}

// encodeAddresses returns the binary form of addresses, which is empty for one
// that is not an IP and a port.
func encodeAddresses(addresses []string) [][]byte {
	if len(addresses) == 0 {
		return nil
	}
	out := make([][]byte, len(addresses))
	for i, address := range addresses {
		if ap, err := netip.ParseAddrPort(address); err == nil {
			out[i], _ = ap.MarshalBinary() // never fails
		}
	}
	return out
}

// decodeAddresses reverses encodeAddresses. An address that can't be decoded is
// unknown, and therefore empty.
func decodeAddresses(datas [][]byte) []string {
	var out []string
	for _, data := range datas {
		var ap netip.AddrPort
		address := ""
		if len(data) > 0 && ap.UnmarshalBinary(data) == nil {
			address = ap.String()
		}
		out = append(out, address)
	}
	return out
}

func encodeCrashes(tcs []TaskCrashes) []*wire.TaskCrashes {
	var msgs []*wire.TaskCrashes
	for _, tc := range tcs {
		msgs = append(msgs, &wire.TaskCrashes{
			Index: uint32(tc.Index), Count: uint32(tc.Count), Confirmed: uint32(tc.Confirmed), Suspected: uint32(tc.Suspected),
			MinAgeMillis: uint64(tc.MinAge.Milliseconds()), MaxAgeMillis: uint64(tc.MaxAge.Milliseconds()),
			Lone: uint32(tc.Lone), LoneAgeMillis: uint64(tc.LoneAge.Milliseconds()),
		})
	}
	return msgs
}

func decodeCrashes(msgs []*wire.TaskCrashes) []TaskCrashes {
	var tcs []TaskCrashes
	for _, msg := range msgs {
		tcs = append(tcs, TaskCrashes{
			Index: int(msg.GetIndex()), Count: int(msg.GetCount()), Confirmed: int(msg.GetConfirmed()), Suspected: int(msg.GetSuspected()),
			MinAge: time.Duration(msg.GetMinAgeMillis()) * time.Millisecond, MaxAge: time.Duration(msg.GetMaxAgeMillis()) * time.Millisecond,
			Lone: int(msg.GetLone()), LoneAge: time.Duration(msg.GetLoneAgeMillis()) * time.Millisecond,
		})
	}
	return tcs
}
