package report

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// sumOutcomes sums the rows, which must be sorted, by workspace.
func sumOutcomes(rows []Row) []OutcomeSums {
	var sums []OutcomeSums
	reasons := make(map[codes.Code]int64)
	for i, rw := range rows {
		if i == 0 || rows[i-1].Workspace != rw.Workspace {
			sums = append(sums, OutcomeSums{Workspace: rw.Workspace})
			clear(reasons)
		}
		ou := &sums[len(sums)-1]
		ou.Offered += rw.Offered
		ou.Done += rw.Done
		ou.Failed += rw.Failed
		ou.Refused += rw.NotRun
		ou.Unknown += rw.Unknown
		ou.InProgress += rw.InProgress
		for _, cc := range rw.Codes {
			if cc.Class == codes.NotRun {
				reasons[cc.Code] += cc.Count
			}
		}
		ou.Reasons = countCodes(reasons)
	}
	return sums
}

// sumUsage sums the rows, which must be sorted, by workspace.
func sumUsage(rows []Row) []UsageSums {
	var sums []UsageSums
	for i, rw := range rows {
		if i == 0 || rows[i-1].Workspace != rw.Workspace {
			sums = append(sums, UsageSums{Workspace: rw.Workspace})
		}
		us := &sums[len(sums)-1]
		us.Ran += rw.Done + rw.Failed + rw.Unknown
		us.NotRun += rw.NotRun
		us.InProgress += rw.InProgress
		us.SlotTime += rw.SlotTime
		us.Held += rw.Held
		us.Lost += rw.Lost
		us.Reclaimed += rw.Reclaimed
		us.QueueTime += rw.QueueTime
		us.RegionBytes += rw.RegionBytes
		us.Repeats += rw.Repeats
	}
	return sums
}

// Check verifies that in every row the outcomes add up to the offers and the
// code counts to the classes, and that the sums by outcome and by usage agree
// with the rows and with each other.
func (da Daily) Check() error {
	var errs []error
	for _, rw := range da.Rows {
		errs = append(errs, rw.check())
	}
	if len(da.Outcomes) != len(da.Usage) {
		errs = append(errs, fmt.Errorf("revenue has %d workspaces and capacity %d", len(da.Outcomes), len(da.Usage)))
		return errors.Join(errs...)
	}
	for i, ou := range da.Outcomes {
		us := da.Usage[i]
		if ou.Workspace != us.Workspace || ou.Offered != us.Ran+us.NotRun+us.InProgress || ou.Refused != us.NotRun ||
			ou.Done+ou.Failed+ou.Unknown != us.Ran {
			errs = append(errs, fmt.Errorf("workspace %q: revenue and capacity differ", ou.Workspace))
		}
	}
	if !reflect.DeepEqual(da.Outcomes, sumOutcomes(da.Rows)) {
		errs = append(errs, errors.New("revenue is not the sum of the rows"))
	}
	if !reflect.DeepEqual(da.Usage, sumUsage(da.Rows)) {
		errs = append(errs, errors.New("capacity is not the sum of the rows"))
	}
	return errors.Join(errs...)
}

func (rw Row) check() error {
	sum := rw.Done + rw.Failed + rw.NotRun + rw.Unknown + rw.InProgress
	if rw.Offered != sum {
		return fmt.Errorf("workspace %q, service %q: %d offered, outcomes add up to %d", rw.Workspace, rw.Service, rw.Offered, sum)
	}
	if min(rw.Done, rw.Failed, rw.NotRun, rw.Unknown, rw.InProgress) < 0 {
		return fmt.Errorf("workspace %q, service %q: a count is negative", rw.Workspace, rw.Service)
	}
	var byClass [codes.Unknown + 1]int64
	for _, cc := range rw.Codes {
		if cc.Class <= codes.Unknown {
			byClass[cc.Class] += cc.Count
		}
	}
	if byClass[codes.Done] != rw.Done || byClass[codes.Failed] != rw.Failed ||
		byClass[codes.NotRun] != rw.NotRun || byClass[codes.Unknown] != rw.Unknown {
		return fmt.Errorf("workspace %q, service %q: the code counts do not match the class counts", rw.Workspace, rw.Service)
	}
	return nil
}
