package host

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// operatorAPI implements entry.OperatorAPI on a Host.
	operatorAPI struct{ ho *Host }

	// dailyReport is encoded as JSON, or as text by String.
	dailyReport struct{ report.Daily }
)

const (
	// declarationsFileName is the file name in the positions of faults, since
	// operators send only the content of a file.
	declarationsFileName = "declarations"
	rolloutPollInterval  = 50 * time.Millisecond
)

// Apply implements entry.OperatorAPI.
func (op operatorAPI) Apply(ctx context.Context, rq entry.ApplyRequest) (client.Applied, error) {
	req := conf.ApplyRequest{
		File: declarationsFileName, Content: rq.Content, By: rq.Operator,
		HostRevision: op.ho.follower.Revision(), Check: place.Check,
	}
	if rq.Expect != entry.AnyRevision {
		req.Expect = &rq.Expect
	}
	cur, unchanged, err := conf.Apply(ctx, time.Now(), op.ho.store, req)
	if err != nil {
		return client.Applied{Revision: op.ho.follower.Revision(), Faults: faultsOf(err)}, err
	}
	op.ho.follower.Adopt(time.Now(), cur)
	op.ho.mesh.Announce()
	ad := client.Applied{Revision: cur.Revision}
	ad.Code = codes.Applied
	if unchanged {
		ad.Code = codes.Unchanged
	}
	if rq.Wait > 0 {
		if pending := op.awaitRollout(ctx, cur.Revision, rq.Wait); len(pending) > 0 {
			ad.Code = codes.PartialRollout
			ad.Detail = "not confirmed by " + strings.Join(pending, ", ")
		}
	}
	op.ho.log.Info("declarations applied", "event", "apply", "revision", cur.Revision, "by", rq.Operator, "code", int(ad.Code), "detail", ad.Detail)
	return ad, nil
}

// awaitRollout waits until all other known hosts have reported a revision or a
// later one. It returns the hosts that haven't done so in time, as zone/host.
func (op operatorAPI) awaitRollout(ctx context.Context, revision int64, wait time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		var pending []string
		for _, me := range op.ho.mesh.Members(time.Now()) {
			if me.Name != op.ho.se.Host.Name && me.DeclarationsRevision < revision {
				pending = append(pending, me.Zone+"/"+me.Name)
			}
		}
		if len(pending) == 0 || !pause.For(ctx, rolloutPollInterval) {
			return pending
		}
	}
}

// Check implements entry.OperatorAPI.
func (op operatorAPI) Check(ctx context.Context, content []byte) (client.Applied, error) {
	ad := client.Applied{Revision: op.ho.follower.Revision()}
	doc, err := spec.Parse(declarationsFileName, content)
	if err == nil {
		if fas := place.Check(doc); len(fas) > 0 {
			err = fas
		}
	}
	if err != nil {
		ad.Faults = faultsOf(err)
		return ad, codes.New(codes.InvalidDeclaration, "the declarations have %d faults", len(ad.Faults))
	}
	ad.Code = codes.RequestDone
	ad.Warnings = op.warnings(ctx, doc.Declarations)
	return ad, nil
}

// Declarations implements entry.OperatorAPI.
func (op operatorAPI) Declarations(context.Context) ([]byte, int64, error) {
	cur := op.ho.follower.Current()
	if cur == nil {
		return nil, 0, codes.New(codes.NotReady, "no declarations have been applied").WithRetryAfter(retryAfter)
	}
	return cur.Content, cur.Revision, nil
}

// Status implements entry.OperatorAPI.
func (op operatorAPI) Status(ctx context.Context) (client.Status, error) {
	now := time.Now()
	st := client.Status{Host: op.ho.se.Host.Name, Revision: op.ho.follower.Revision(), StoreUp: op.ho.follower.StoreUp()}
	statuses := map[string]client.ZoneStatus{}
	for _, me := range op.ho.mesh.Members(now) {
		st.Hosts = append(st.Hosts, client.HostStatus{
			Name: me.Name, Zone: me.Zone, Address: me.HTTPAddress, Revision: me.DeclarationsRevision,
			Ready: me.Ready, Leaving: me.Draining, Reachable: me.Alive,
		})
		zs := statuses[me.Zone]
		zs.Reachable = zs.Reachable || me.Alive
		if me.SchedulerEpoch > zs.Epoch {
			zs.Epoch = me.SchedulerEpoch
			zs.Scheduler = me.Scheduler
		}
		statuses[me.Zone] = zs
	}
	if de := op.ho.currentDeclarations(); de != nil {
		for _, zn := range de.Zones {
			zs := statuses[zn.Name]
			zs.Name = zn.Name
			zs.Region = zn.Region
			st.Zones = append(st.Zones, op.addSummary(ctx, now, zs))
		}
	}
	return st, nil
}

// addSummary adds the counts of a zone's scheduler to zs. They are omitted if the
// zone is unreachable.
func (op operatorAPI) addSummary(ctx context.Context, now time.Time, zs client.ZoneStatus) client.ZoneStatus {
	if !zs.Reachable {
		return zs
	}
	sm, err := op.ho.router.Summary(ctx, now, zs.Name)
	if err != nil {
		op.ho.log.Warn("getting the summary of a zone failed", "event", "status", "zone", zs.Name, "error", err)
		return zs
	}
	zs.Workers = sm.Workers
	zs.FreeAccelerators = sm.FreeAccelerators
	zs.Waiting = sm.Waiting
	zs.Running = sm.Running
	return zs
}

// Report implements entry.OperatorAPI. Hosts, zones and the archive that can't be
// read are listed in the report as missing.
func (op operatorAPI) Report(ctx context.Context, name string) (any, error) {
	now := time.Now()
	loc := op.ho.location()
	if name == "" {
		name = report.DayOf(now, loc)
	}
	day, err := report.ParseDay(name, loc)
	if err != nil {
		return nil, codes.New(codes.BadRequest, "%v", err)
	}
	accounts, missing := op.ho.replicator.Collect(ctx, now, day.Name)
	archived, err := op.ho.archive.Read(ctx, day.Name)
	if err != nil {
		missing = append(missing, "the archive of accounts")
	}
	in := report.Input{Accounts: append(accounts, archived...), Missing: missing, Declarations: op.ho.currentDeclarations(), Now: now}
	if cur := op.ho.follower.Current(); cur != nil {
		in.Since = cur.Since
	}
	rcs, unreachable, err := op.ho.router.ListAcrossZones(ctx, jobs.Filter{})
	if err != nil {
		return nil, err
	}
	in.Jobs = rcs
	for _, zn := range unreachable {
		in.Missing = append(in.Missing, "availability zone "+zn)
	}
	return dailyReport{report.Build(day, in)}, nil
}

// String returns the report as text with aligned columns.
func (dr dailyReport) String() string {
	var sb strings.Builder
	if err := dr.WriteText(&sb); err != nil {
		return err.Error()
	}
	return sb.String()
}

// faultsOf returns the faults among the causes of an error, or nil.
func faultsOf(err error) []client.Fault {
	var fas spec.Faults
	if !errors.As(err, &fas) {
		return nil
	}
	out := make([]client.Fault, 0, len(fas))
	for _, fa := range fas {
		out = append(out, client.Fault{Line: fa.Line, Column: fa.Column, Message: fa.Message})
	}
	return out
}
