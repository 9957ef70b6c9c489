package jobs

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// ToWire encodes a record as a message.
func ToWire(rc Record) *wire.Job {
	jb := &wire.Job{
		Id: rc.ID, Workspace: rc.Workspace, Caller: rc.Caller, Key: rc.Key,
		Shape: shapeToWire(rc.Shape), Step: int32(rc.Step),
		RunTimeNanos: int64(rc.RunTime), Priority: int32(rc.Priority),
		Repeatable: rc.Repeatable, Checkpoint: rc.Checkpoint, Command: rc.Command,
		State: int32(rc.State), Attempt: int32(rc.Attempt), Epoch: rc.Epoch,
		Code: int32(rc.Code), Detail: rc.Detail, Cancelled: rc.Cancelled, Doubt: rc.MayHaveRun,
		SubmittedNanos: toNanos(rc.Submitted), StartedNanos: toNanos(rc.Started), EndedNanos: toNanos(rc.Ended),
		HeldNanos: int64(rc.AcceleratorTime), LostNanos: int64(rc.LostTime),
		ReclaimedNanos: int64(rc.PreemptedTime), WaitedNanos: int64(rc.Waited), QueuedNanos: toNanos(rc.Queued),
	}
	for _, ta := range rc.Tasks {
		jb.Tasks = append(jb.Tasks, &wire.JobTask{Worker: ta.Worker, Address: ta.Address})
	}
	for _, st := range rc.Then {
		jb.Then = append(jb.Then, &wire.JobStep{Shape: shapeToWire(st.Shape), RunTimeNanos: int64(st.RunTime), Command: st.Command})
	}
	return jb
}

// FromWire decodes a record from a message. Missing fields become zero values.
func FromWire(jb *wire.Job) Record {
	rc := Record{
		Spec: Spec{
			ID: jb.GetId(), Workspace: jb.GetWorkspace(), Caller: jb.GetCaller(), Key: jb.GetKey(),
			Shape:   shapeFromWire(jb.GetShape()),
			RunTime: time.Duration(jb.GetRunTimeNanos()), Priority: Priority(jb.GetPriority()),
			Repeatable: jb.GetRepeatable(), Checkpoint: jb.GetCheckpoint(), Command: jb.GetCommand(),
		},
		State: State(jb.GetState()), Step: int(jb.GetStep()), Attempt: int(jb.GetAttempt()), Epoch: jb.GetEpoch(),
		Code: codes.Code(jb.GetCode()), Detail: jb.GetDetail(), Cancelled: jb.GetCancelled(), MayHaveRun: jb.GetDoubt(),
		Submitted:       fromNanos(jb.GetSubmittedNanos()),
		Started:         fromNanos(jb.GetStartedNanos()),
		Ended:           fromNanos(jb.GetEndedNanos()),
		AcceleratorTime: time.Duration(jb.GetHeldNanos()),
		LostTime:        time.Duration(jb.GetLostNanos()),
		PreemptedTime:   time.Duration(jb.GetReclaimedNanos()),
		Waited:          time.Duration(jb.GetWaitedNanos()),
		Queued:          fromNanos(jb.GetQueuedNanos()),
	}
	for _, ta := range jb.GetTasks() {
		rc.Tasks = append(rc.Tasks, Task{Worker: ta.GetWorker(), Address: ta.GetAddress()})
	}
	for _, st := range jb.GetThen() {
		rc.Then = append(rc.Then, Step{
			Shape: shapeFromWire(st.GetShape()), RunTime: time.Duration(st.GetRunTimeNanos()), Command: st.GetCommand(),
		})
	}
	rc.Step = min(max(rc.Step, 0), len(rc.Then)) // a value from the store or another host may be out of range
	return rc
}

func shapeToWire(sh spec.Shape) *wire.Shape {
	return &wire.Shape{Tasks: int32(sh.Tasks), Accelerators: int32(sh.Accelerators), Adjacency: string(sh.Adjacency)}
}

func shapeFromWire(sh *wire.Shape) spec.Shape {
	return spec.Shape{
		Tasks: int(sh.GetTasks()), Accelerators: int(sh.GetAccelerators()),
		Adjacency: spec.Adjacency(sh.GetAdjacency()),
	}
}

// toNanos encodes a time in nanoseconds since 1970; zero encodes the zero time.
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
