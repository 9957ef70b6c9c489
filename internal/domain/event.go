package domain

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Event is an input of the core. The types from Configured to Prompted
	// implement it.
	Event interface{ event() }

	// Configured replaces the policy in force.
	Configured struct{ Policy *batch.Policy }

	// Accepted adds a job that is in the store.
	Accepted struct{ Job batch.Job }

	// CancelRequested requests the cancellation of a job.
	CancelRequested struct{ ID string }

	// Listed adds or updates the platform's entry of a worker.
	Listed struct{ Worker runner.Worker }

	// Unlisted reports that the platform no longer lists a worker.
	Unlisted struct{ ID string }

	// StoreReturned reports that the store responds again after an outage, in which
	// entries of workers may have expired. Those of workers that run are back soon.
	StoreReturned struct{}

	// DrainRequested names the workers that get no new work, with the time by
	// which each should be drained. It replaces the previous set.
	DrainRequested struct{ By map[string]time.Time }

	// EvacuationSet names the availability zones that an operator has asked to
	// evacuate; work may still run there. Their workers get no new work. It
	// replaces the previous set.
	EvacuationSet struct{ Zones []string }

	// WorkerDown reports that the machine of a worker was shut down on request,
	// so that everything that ran there has ended.
	WorkerDown struct{ Worker string }

	// Polled is the outcome of a Poll.
	Polled struct {
		Call   Poll
		Status runner.Status
		Err    error
	}

	// Started is the outcome of a Start.
	Started struct {
		Call     Start
		Clock    time.Duration // the worker's, when it replied; zero if unknown
		Err      error
		Repeated bool // the call was made twice, and only one may have a reply
	}

	// Unanswered reports that a Start has had no reply for a while. Repeat has it sent a
	// second time.
	Unanswered struct{ Call Start }

	// Answered reports that the other copy of a Start has an outcome, too, that was sent
	// twice and has returned with the outcome of one.
	Answered struct{ Call Start }

	// Stopped is the outcome of a Stop.
	Stopped struct {
		Call Stop
		Err  error
	}

	// Advised is the outcome of an Advise.
	Advised struct {
		Call   Advise
		Advice runner.Advice
		Err    error
	}

	// Committed reports that a Commit is in the store, but for the records of some
	// jobs that the store refuses for good.
	Committed struct {
		Seq      int64
		Revision int64    // of the store by this write; zero if unknown
		Refused  []string // IDs of these jobs
	}

	// Ticked is a periodic event for everything that depends on the time.
	Ticked struct{}

	// Prompted resumes deferred work; see Core.NeedsPrompt. It has no data,
	// since every event is followed by that work.
	Prompted struct{}

	// Effect is an action for package drive to carry out. The types from Commit
	// to Resign implement it.
	Effect interface{ effect() }

	// Commit writes records to the store. Committed confirms it. Several
	// commits may be in flight, each with records of different jobs.
	Commit struct {
		Seq     int64 // identifies the commit within the term
		Records []batch.Record
		Backlog *batch.Backlog // nil if unchanged
	}

	// Poll asks a worker for its status: what runs there and what has ended.
	Poll struct {
		Worker  runner.Worker
		Sent    time.Time
		Request runner.PollRequest
		Extra   bool // sent at once, besides the long poll that may be in flight
	}

	// Start starts an attempt of a task.
	Start struct {
		Worker  runner.Worker
		Request runner.StartRequest
	}

	// Repeat has the call that starts an attempt sent a second time if it has not returned.
	// The store names the attempt as one of which several copies may arrive.
	Repeat struct {
		Worker  string
		Task    batch.TaskID
		Attempt int
	}

	// Withdraw gives up the call that starts an attempt, since its outcome is known
	// otherwise: the call must not be sent again.
	Withdraw struct {
		Worker  string
		Task    batch.TaskID
		Attempt int
	}

	// Stop stops an attempt of a task.
	Stop struct {
		Worker  runner.Worker
		Request runner.StopRequest
	}

	// Advise asks the advice service which workers may run a step, and for
	// tickets that permit it.
	Advise struct {
		Sent    time.Time
		Request runner.AdviceRequest
	}

	// Forget deletes from the store a job that ended more than
	// endedJobRetention ago.
	Forget struct{ ID string }

	// LogDecision requests a log line about a decision or an observation of the
	// core. Fields that don't apply to it are zero. Decision is one of these:
	//
	//   - placed: an attempt of a unit was placed, and its record is written next
	//   - startFails: a start was refused, failed, or got no reply
	//   - ends: a worker has reported the end of a run
	//   - lost: a run has ended, or is considered ended, without a report of its
	//     worker; see Cause
	//   - crashed: a worker has crashed under a task
	//   - endsOmitted: a worker has more ends than it returns at a time, and attempts
	//     that it does not list as running may be among the others; see Beside
	//   - endsLate: an attempt succeeded although it had been given up
	//   - stops: an attempt, or a run that no record names, is being stopped
	//   - overdue: a stop is not confirmed although all leases have expired
	//   - hangs: a task makes no progress
	//   - preempts: other work is being stopped for a unit
	//   - unheld: a unit is placed whatever workers it had rather run on
	//   - evacuation: the set of evacuated zones has changed, or a unit is being
	//     moved out of one
	//   - jobEnds: a job has reached its final state
	//   - lookFails: a poll has failed; it is logged only if no other call to the
	//     worker has failed since its last reply to a poll
	//   - silent: the leases on a worker that is unresponsive or no longer listed
	//     have expired, and its tasks are considered ended
	//   - reborn: a worker has restarted; Reason says what shows it
	//   - fenced: orders to a former incarnation of a worker can't take effect any
	//     more
	//   - holdsEnds: a worker's ends are not acknowledged in time, since a copy of a
	//     start of the task of the first one may still arrive; see Beside
	//   - releasesEnds: they are acknowledged all the same, since too many wait
	//   - unlisted: the platform no longer lists a worker
	//   - suspects: a worker is suspended
	//   - reinstates: a worker returns to service
	//   - adviceFails: a call to the advice service has failed
	LogDecision struct {
		Decision    string
		Job         string
		Task        string
		Queue       string        // of the unit or job
		Cause       LossCause     // of a lost run
		MinAge      time.Duration // of a lost run at the loss of its worker, since its start was sent
		MaxAge      time.Duration // the same as an upper bound; zero if unknown
		Life        string        // incarnation of the worker of a lost run: present, former or unknown
		Token       int64         // that a worker has confirmed after a restart
		Leases      time.Duration // by which leases that it may have been granted before that expire at the latest; zero if there are none
		Granted     time.Duration // since the last lease was granted to a worker that has restarted; zero if none was
		Beside      int           // number of other runs on the worker of a lost run; of runs whose ends may be omitted; of ends that wait
		Crashes     int           // of workers under a task, by the last one
		Suspected   int           // how many of these crashes the task has probably caused
		Waited      time.Duration // by a placed unit since its due time or acceptance, earlier attempts included; by a job that ends, until its first placement
		Unseen      time.Duration // by a placed unit's job, until this scheduler learned of its acceptance; part of Waited
		Duration    time.Duration // by a job that ends, since its acceptance; by a worker that is fenced, since its restart became known
		Lost        time.Duration // processor time in core equivalents, by a stop, or by all preemptions of a job that ends
		Preemptions int           // of a job that ends: its preempted attempts, in this term
		Attempt     int
		Worker      string   // of a run, or that the decision is about
		Workers     []string // of a unit's tasks
		Reason      string   // free text for operators
	}

	// BacklogReport reports the waiting work and the free capacity after a
	// pass, at most once a second while units wait, and once more when none
	// does.
	BacklogReport struct {
		Backlogs     []QueueBacklog   // sorted by queue and class
		Usage        []WorkspaceUsage // sorted by service and workspace
		Accelerators AcceleratorCounts
	}

	// HoldReport reports the jobs of which nothing runs although they have a task
	// whose turn has come, after a pass, at most once a second while there are any,
	// and once more when there are none.
	HoldReport struct {
		Jobs   map[HoldReason]int           // number of jobs
		Oldest map[HoldReason]time.Duration // for which a job has stood still
		Holds  []Hold                       // the oldest ones but for those that wait for room
	}

	// EvacuationReport reports the tasks left in evacuated availability zones
	// when they change, at most once a second.
	EvacuationReport struct{ Zones []ZoneStatus }

	// HealthReport counts the workers that are suspected or out of service. It
	// is emitted when the counts change, at most once a second.
	HealthReport struct {
		Suspected   int // other workers are preferred
		Suspended   int // get no work
		OnProbation int // get only work that tolerates a failure
	}

	// StateReport says what the core holds in memory. It is emitted when that
	// changes, at most once a second.
	StateReport struct {
		Jobs  int   // accepted ones, ended ones included for a while
		Units int   // of open occurrences
		Held  int64 // estimated bytes for both
		Limit int64 // bytes from which further jobs are refused
	}

	// EndReport counts the ends that workers have listed in this term. It is emitted when
	// the counts change, at most once a second.
	EndReport struct {
		Read int // processed
		Late int // those that were not acknowledged in time since copies of their starts may arrive
	}

	// Resign ends the term: leadership is lost to the holder of a larger token.
	Resign struct{ Reason string }
)

// Intervals, timeouts and limits of the core.
const (
	// TaskLeaseTime is the length of a task lease on a worker's clock. It
	// covers a change of leadership and one unanswered poll.
	TaskLeaseTime = 6 * time.Second
	// MaxRenewalAge is how long after the last renewal of its own lease a
	// scheduler continues.
	MaxRenewalAge = 6500 * time.Millisecond
	// LeaderLeaseTime is the length of a scheduler's own lease. A successor
	// begins no earlier than that after its predecessor's last renewal.
	LeaderLeaseTime = time.Second
	// maxClockDrift is the fraction by which a worker's clock may be slow.
	maxClockDrift = 0.02
	// replyMargin is added to the end of a lease to cover the latency of
	// replies.
	replyMargin = 200 * time.Millisecond
	// maxGrantTime is how long after the last renewal of a scheduler's own lease the
	// leases that it grants on workers may last. While the store does not respond,
	// they get shorter with each grant.
	maxGrantTime = 7 * time.Second
	// formerLeaseTime is the time after which leases of an earlier term have
	// expired on a worker that was never reached. The predecessor grants none beyond
	// maxGrantTime after its last renewal, and this term begins no earlier than
	// LeaderLeaseTime after that; or it has resigned, and its last leases are
	// TaskLeaseTime long. The rest covers a slow clock since its last reading, which
	// idlePollInterval bounds.
	formerLeaseTime = maxGrantTime - LeaderLeaseTime + 400*time.Millisecond
	// unboundedLeaseTime is the same for a predecessor that may be of a former version,
	// which grants leases of TaskLeaseTime until 5.5 s after its last renewal.
	unboundedLeaseTime = 11 * time.Second
	// maxCallDelay and maxLeaseTime bound how late a call without a reply may take effect,
	// and the lease that it grants then.
	maxCallDelay = launch.MaxDelay
	maxLeaseTime = launch.MaxLease

	// pollWait is how long a poll waits for an end.
	pollWait = 2 * time.Second
	// pendingEndPollDelay is the minimum time between the reply to a poll and
	// the next poll while an end that it reported is not in the store yet.
	pendingEndPollDelay = 400 * time.Millisecond
	// heldEndPollDelay is the same while only copies of starts hold it back, which may be
	// for many seconds. The worker answers such polls at once, so that this is how late
	// the next end is seen.
	heldEndPollDelay = 200 * time.Millisecond
	// entryReturnTime is how long after an outage of the store the entry of a worker
	// that runs may be missing: two seconds by the platform, and a margin.
	entryReturnTime = 2500 * time.Millisecond
	// idlePollInterval is the time between two polls of an idle worker.
	idlePollInterval = 10 * time.Second
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 500 * time.Millisecond
	// stopRetryDelay is the minimum time between two calls to stop the same
	// run.
	stopRetryDelay = 400 * time.Millisecond

	// minPassInterval is the minimum time between two placement passes.
	// Beside that, passPauseFactor times the time of a pass lie between two of them, up
	// to maxPassPause. passTimeWeight is the number of passes over which that time is
	// smoothed. passTimePerGroup and passTimePerNode estimate it on one core, per waiting
	// group and per node, before a pass has been measured.
	minPassInterval  = 15 * time.Millisecond
	passTimePerGroup = 5 * time.Microsecond
	passTimePerNode  = 2 * time.Microsecond
	passPauseFactor  = 4
	maxPassPause     = 400 * time.Millisecond
	passTimeWeight   = 4
	// latePassInterval is the time between the beginnings of two passes while events wait
	// for lateEventTime or longer: until one of them did not, or none has come for
	// lateMemory.
	latePassInterval = 800 * time.Millisecond
	lateEventTime    = 100 * time.Millisecond
	lateMemory       = time.Second
	// preemptInterval is the minimum time between two searches for victims for
	// the same unit.
	preemptInterval = 100 * time.Millisecond
	// urgentCommitInterval is the minimum time between two commits if a start
	// waits for the second one.
	urgentCommitInterval = 30 * time.Millisecond
	// routineCommitInterval is the same if no start waits for it.
	routineCommitInterval = 150 * time.Millisecond
	// waitingCountInterval is the minimum time between two counts of waiting
	// jobs. It is also the age from which a job is counted, so jobs that begin
	// sooner never are.
	waitingCountInterval = time.Second
	// maxCommitRecords bounds the records of a commit, so that its comparisons
	// and puts fit into one transaction of the store.
	maxCommitRecords = 14
	// maxCommitsInFlight bounds the commits in flight.
	maxCommitsInFlight = 4
	// endedJobRetention is how long ended jobs remain available to queries.
	endedJobRetention = 10 * time.Minute
	// stuckStopInterval is the time between two searches for attempts whose stop
	// is not confirmed although all leases have expired.
	stuckStopInterval = 2 * time.Second
	// refusalBackoff is how long a worker gets no start after it has refused one.
	refusalBackoff = 500 * time.Millisecond
)

func (Configured) event()      {}
func (Accepted) event()        {}
func (CancelRequested) event() {}
func (Listed) event()          {}
func (Unlisted) event()        {}
func (StoreReturned) event()   {}
func (Polled) event()          {}
func (DrainRequested) event()  {}
func (EvacuationSet) event()   {}
func (WorkerDown) event()      {}
func (Started) event()         {}
func (Unanswered) event()      {}
func (Answered) event()        {}
func (Stopped) event()         {}
func (Advised) event()         {}
func (Committed) event()       {}
func (Ticked) event()          {}
func (Prompted) event()        {}

func (Commit) effect()           {}
func (Poll) effect()             {}
func (Start) effect()            {}
func (Repeat) effect()           {}
func (Withdraw) effect()         {}
func (Stop) effect()             {}
func (Advise) effect()           {}
func (Forget) effect()           {}
func (LogDecision) effect()      {}
func (BacklogReport) effect()    {}
func (HoldReport) effect()       {}
func (EvacuationReport) effect() {}
func (HealthReport) effect()     {}
func (StateReport) effect()      {}
func (EndReport) effect()        {}
func (Resign) effect()           {}
