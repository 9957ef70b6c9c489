package local

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/uptime"
)

const (
	stepsService = "steps"
	stepsHost    = "local"
	stepsPrefix  = "/steps/"
	stepsWorkers = 4
	stepsRunTime = 300 * time.Millisecond
	stepsTimeout = 15 * time.Second
)

// stepsJob returns a job of four independent tasks that are followed by a gang.
func stepsJob(queue batch.Queue) batch.Job {
	return batch.Job{
		ID: uuid.NewString(), Queue: queue, Payload: "sample", Accepted: time.Now(),
		Steps: []batch.Step{
			{Tasks: 4, Needs: batch.Resources{MilliCPU: 1000, Accelerators: 1}, RunTime: stepsRunTime},
			{Tasks: 3, Needs: batch.Resources{Accelerators: 8}, RunTime: stepsRunTime, After: []int{0}, Gang: true},
		},
	}
}

// sampleSteps runs a job of two steps in a scheduling domain of simulated workers
// and prints its result. It returns an error unless each task ran exactly once
// and in order.
func (dp *deployment) sampleSteps(ctx context.Context, out *printer, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, stepsTimeout)
	defer cancel()
	queue := batch.Queue{
		Name: "sample", Host: stepsHost, Prefix: stepsPrefix, Service: stepsService, MaxAttempts: 2, Stretch: 2,
		Allowance: time.Second, Anonymous: true,
	}
	jb := stepsJob(queue)
	workers := runsim.NewClient(runsim.NewFleet(time.Now(), runsim.Config{
		MaxLease: stepsTimeout, GangTimeout: stepsTimeout, CheckpointInterval: time.Second, Plan: func(ti batch.TaskID) runsim.Plan { return stepsPlan(jb, ti) },
	}))
	if err := runsim.Put(ctx, dp.store, runsim.PolicyKey, batch.Policy{Version: 1, Queues: []batch.Queue{queue}}); err != nil {
		return err
	}
	for i := range stepsWorkers {
		wk := runner.Worker{
			ID: fmt.Sprintf("steps-%d", i+1), Address: fmt.Sprintf("steps-%d:1", i+1), Service: stepsService,
			Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 1 << 18, Accelerators: 8},
		}
		if err := workers.AddWorker(ctx, dp.store, wk); err != nil {
			return err
		}
	}
	layout := runsim.Layout()
	go drive.New(time.Now(), drive.Config{Host: stepsHost, Store: dp.store, Workers: workers, Layout: layout, Log: log}).Run(ctx)
	in := intake.New(intake.Config{Store: dp.store, PolicyKey: layout.PolicyKey, Decode: layout.DecodePolicy, MaxPolicyAge: stepsTimeout, Log: log})
	st, err := runSteps(ctx, in, jb)
	if err != nil {
		return merry.Prepend(err, "sample job with two steps")
	}
	out.printf("job %s: %s, %d tasks and then a gang of %d in a scheduling domain", jb.ID, st, jb.Steps[0].Tasks, jb.Steps[1].Tasks)
	return checkSteps(workers, jb, st)
}

// stepsPlan returns what the simulated workers do for a task of the job and the
// rules that its starts must obey.
func stepsPlan(jb batch.Job, ti batch.TaskID) runsim.Plan {
	step := jb.Steps[ti.Step]
	pl := runsim.Plan{Work: stepsRunTime, Needs: step.Reserved(), Payload: jb.Payload}
	if step.Gang {
		pl.Gang = step.Tasks
	}
	for _, prior := range step.After {
		for i := range jb.Steps[prior].Tasks {
			pl.After = append(pl.After, batch.TaskID{Job: jb.ID, Step: prior, Index: i})
		}
	}
	return pl
}

// runSteps submits a job, waits for its end and returns its final state.
func runSteps(ctx context.Context, in *intake.Intake, jb batch.Job) (batch.State, error) {
	ac, err := in.Authorize(ctx, uptime.Now(), stepsHost, stepsPrefix+jb.ID, "")
	if err != nil {
		return 0, err
	}
	if err := in.Submit(ctx, uptime.Now(), ac, jb); err != nil {
		return 0, err
	}
	for {
		st, err := in.State(ctx, uptime.Now(), ac, jb.ID)
		if err != nil || st.Final() {
			return st, err
		}
		select {
		case <-ctx.Done():
			return st, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// checkSteps checks that the job succeeded, that its tasks were started once each
// and that no start violated the rules of its plan.
func checkSteps(workers *runsim.Client, jb batch.Job, st batch.State) (err error) {
	want := 0
	for _, step := range jb.Steps {
		want += step.Tasks
	}
	workers.With(func(_ time.Time, fl *runsim.Fleet) {
		switch {
		case st != batch.Done:
			err = merry.Errorf("the job with two steps is %s", st)
		case len(fl.Violations) > 0:
			err = merry.Errorf("the job with two steps violated an invariant: %s", fl.Violations[0])
		case fl.Starts != want:
			err = merry.Errorf("the job with two steps took %d starts, want %d", fl.Starts, want)
		}
	})
	return err
}
