// Package domain is the core of a scheduling domain: the availability zones
// whose workers one scheduler uses. It holds the state of jobs, units and
// workers, and decides which tasks are started where and which are stopped. It
// does no I/O and reads no clock: it takes an event and the current time, and
// returns effects for package drive to carry out.
//
// It schedules jobs of queues with priorities over several zones. Package sched
// holds another core, which schedules the jobs of a single zone.
//
// A job has its full value if it ends within its objective, and none after
// noValueFactor times that time. In between, it still has some value. The order
// of placement depends on this remaining value; see unitGroup.
//
// These invariants hold after every event:
//
//   - An attempt is started only after its record, which names the workers, is
//     in the store.
//   - A unit has at most one attempt that may run. The next attempt begins only
//     when every task of the last one has certainly ended, on every worker.
//   - Capacity on a worker stays allocated until the worker reports that the
//     task has ended, or until the lease of the task has expired even on the
//     slowest clock that is allowed for (maxClockDrift).
//   - The end of a task is acknowledged to the worker only after the record
//     that accounts for it is in the store, also if the attempt was given up.
//   - A run that its worker does not list has ended only if the reply is the
//     latest one and its list of ends is whole (runner.Status.ShowsAbsence). A
//     worker has ended only if it, or its address, says so, or its leases have
//     expired; entries in the store alone end nothing.
//   - Only occurrences that are due have units in memory.
//   - While a copy of a start may take effect on a worker, the next attempt of its
//     task begins there or waits, as package launch says; see bound.go. It begins
//     elsewhere before that only if two more things would have to go wrong.
//   - Every action carries a fencing token of one term. The holder of a
//     larger token ends this core.
//   - A worker that has restarted gets no order before no order to its former
//     incarnations can take effect any more. What a reply proves, it proves for
//     the incarnation that has given it; see fence.go.
package domain
