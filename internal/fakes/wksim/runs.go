package wksim

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// Run is the record of one execution of a task. It is kept when the task
	// is acknowledged and when the worker restarts.
	Run struct {
		Worker       string        `json:"worker"`
		Task         worker.TaskID `json:"task"`
		Workspace    string        `json:"workspace"`
		Accelerators int           `json:"accelerators"`
		Epoch        int64         `json:"epoch"` // epoch under which the task was reserved
		Started      time.Time     `json:"started"`
		Ended        time.Time     `json:"ended,omitzero"`
		Phase        worker.Phase  `json:"phase"`
	}

	// Overlap is a pair of runs of one job that ran at the same time and must
	// not: the same task twice, or tasks of two attempts.
	Overlap struct {
		First  Run
		Second Run
	}
)

// Overlaps returns every pair of overlapping runs, on any workers.
func Overlaps(runs []Run) []Overlap {
	byJob := map[string][]Run{}
	var found []Overlap
	for _, rn := range runs {
		for _, other := range byJob[rn.Task.Job] {
			if rn.overlaps(other) {
				found = append(found, Overlap{First: other, Second: rn})
			}
		}
		byJob[rn.Task.Job] = append(byJob[rn.Task.Job], rn)
	}
	return found
}

func (rn Run) overlaps(other Run) bool {
	sameAttempt := rn.Task.Attempt == other.Task.Attempt
	if sameAttempt && rn.Task.Index != other.Task.Index {
		return false
	}
	return rn.endsAfter(other.Started) && other.endsAfter(rn.Started)
}

func (rn Run) endsAfter(at time.Time) bool {
	return rn.Ended.IsZero() || rn.Ended.After(at)
}
