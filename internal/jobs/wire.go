package jobs

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// ToWire returns the message of a record.
func ToWire(rc Record) *wire.Job {
	jb := &wire.Job{
		Id: rc.ID, Workspace: rc.Workspace, Caller: rc.Caller, Key: rc.Key,
		Shape: &wire.Shape{
			Tasks:        int32(rc.Shape.Tasks),
			Accelerators: int32(rc.Shape.Accelerators),
			Adjacency:    string(rc.Shape.Adjacency),
		},
		RunTimeNanos: int64(rc.RunTime), Priority: int32(rc.Priority),
		Repeatable: rc.Repeatable, Checkpoint: rc.Checkpoint, Command: rc.Command,
		State: int32(rc.State), Attempt: int32(rc.Attempt), Epoch: rc.Epoch,
		Code: int32(rc.Code), Detail: rc.Detail, Cancelled: rc.Cancelled, Doubt: rc.Doubt,
		SubmittedNanos: toNanos(rc.Submitted), StartedNanos: toNanos(rc.Started), EndedNanos: toNanos(rc.Ended),
		HeldNanos: int64(rc.Held), LostNanos: int64(rc.Lost),
		ReclaimedNanos: int64(rc.Reclaimed), WaitedNanos: int64(rc.Waited), QueuedNanos: toNanos(rc.Queued),
	}
	for _, ta := range rc.Tasks {
		jb.Tasks = append(jb.Tasks, &wire.JobTask{Worker: ta.Worker, Address: ta.Address})
	}
	return jb
}

// FromWire returns the record of a message. Absent parts become zero values.
func FromWire(jb *wire.Job) Record {
	rc := Record{
		Spec: Spec{
			ID: jb.GetId(), Workspace: jb.GetWorkspace(), Caller: jb.GetCaller(), Key: jb.GetKey(),
			Shape: spec.Shape{
				Tasks:        int(jb.GetShape().GetTasks()),
				Accelerators: int(jb.GetShape().GetAccelerators()),
				Adjacency:    spec.Adjacency(jb.GetShape().GetAdjacency()),
			},
			RunTime: time.Duration(jb.GetRunTimeNanos()), Priority: Priority(jb.GetPriority()),
			Repeatable: jb.GetRepeatable(), Checkpoint: jb.GetCheckpoint(), Command: jb.GetCommand(),
		},
		State: State(jb.GetState()), Attempt: int(jb.GetAttempt()), Epoch: jb.GetEpoch(),
		Code: codes.Code(jb.GetCode()), Detail: jb.GetDetail(), Cancelled: jb.GetCancelled(), Doubt: jb.GetDoubt(),
		Submitted: fromNanos(jb.GetSubmittedNanos()),
		Started:   fromNanos(jb.GetStartedNanos()),
		Ended:     fromNanos(jb.GetEndedNanos()),
		Held:      time.Duration(jb.GetHeldNanos()),
		Lost:      time.Duration(jb.GetLostNanos()),
		Reclaimed: time.Duration(jb.GetReclaimedNanos()),
		Waited:    time.Duration(jb.GetWaitedNanos()),
		Queued:    fromNanos(jb.GetQueuedNanos()),
	}
	for _, ta := range jb.GetTasks() {
		rc.Tasks = append(rc.Tasks, Task{Worker: ta.GetWorker(), Address: ta.GetAddress()})
	}
	return rc
}

// toNanos keeps the zero time apart from 1970.
func toNanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func fromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
