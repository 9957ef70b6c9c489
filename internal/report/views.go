package report

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// sumRevenue sums the rows, which must be sorted, by workspace.
func sumRevenue(rows []Row) []Revenue {
	var rs []Revenue
	reasons := make(map[codes.Code]int64)
	for i, rw := range rows {
		if i == 0 || rows[i-1].Workspace != rw.Workspace {
			rs = append(rs, Revenue{Workspace: rw.Workspace})
			clear(reasons)
		}
		re := &rs[len(rs)-1]
		re.Promised += rw.Offered
		re.Delivered += rw.Done
		re.Failed += rw.Failed
		re.Refused += rw.NotRun
		re.Unknown += rw.Unknown
		re.InProgress += rw.InProgress
		for _, cc := range rw.Codes {
			if cc.Class == codes.NotRun {
				reasons[cc.Code] += cc.Count
			}
		}
		re.Reasons = countCodes(reasons)
	}
	return rs
}

// sumCapacity sums the rows, which must be sorted, by workspace.
func sumCapacity(rows []Row) []Capacity {
	var cs []Capacity
	for i, rw := range rows {
		if i == 0 || rows[i-1].Workspace != rw.Workspace {
			cs = append(cs, Capacity{Workspace: rw.Workspace})
		}
		ca := &cs[len(cs)-1]
		ca.Ran += rw.Done + rw.Failed + rw.Unknown
		ca.NotRun += rw.NotRun
		ca.InProgress += rw.InProgress
		ca.SlotTime += rw.SlotTime
		ca.Held += rw.Held
		ca.Lost += rw.Lost
		ca.Reclaimed += rw.Reclaimed
		ca.HeldBack += rw.HeldBack
		ca.RegionBytes += rw.RegionBytes
		ca.Repeats += rw.Repeats
	}
	return cs
}

// Check verifies that in every row the outcomes add up to the offers and the
// code counts to the classes, and that revenue and capacity agree with the rows
// and with each other.
func (da Daily) Check() error {
	var errs []error
	for _, rw := range da.Rows {
		errs = append(errs, rw.check())
	}
	if len(da.Revenue) != len(da.Capacity) {
		errs = append(errs, fmt.Errorf("revenue has %d workspaces and capacity %d", len(da.Revenue), len(da.Capacity)))
		return errors.Join(errs...)
	}
	for i, re := range da.Revenue {
		ca := da.Capacity[i]
		if re.Workspace != ca.Workspace || re.Promised != ca.Ran+ca.NotRun+ca.InProgress || re.Refused != ca.NotRun ||
			re.Delivered+re.Failed+re.Unknown != ca.Ran {
			errs = append(errs, fmt.Errorf("workspace %q: revenue and capacity differ", re.Workspace))
		}
	}
	if !reflect.DeepEqual(da.Revenue, sumRevenue(da.Rows)) {
		errs = append(errs, errors.New("revenue is not the sum of the rows"))
	}
	if !reflect.DeepEqual(da.Capacity, sumCapacity(da.Rows)) {
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
