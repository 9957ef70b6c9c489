package drive

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// A scheduler that can't keep up asks for relief in the store. Hosts that wait
// for the holder's key and are much stronger answer with an offer, and if there
// is one the scheduler gives its lease up: the next election goes to a strong
// host. If nobody offers, a weak scheduler is better than another change.

type (
	// queuedEvent is an event with the time since which it waits for the loop.
	queuedEvent struct {
		ev domain.Event
		at time.Time
	}

	// overloadDetector judges from how long events wait whether a scheduler keeps up.
	overloadDetector struct {
		lateSince  time.Time // when events began to come late
		lastLate   time.Time // when one last did
		lastReport time.Time // when an overload was last reported
	}
)

const (
	// lateThreshold is a wait from which an event comes late.
	lateThreshold = 500 * time.Millisecond
	// overloadTime is for how long events come late, with pauses of strainPause at
	// most, until that is an overload: a takeover brings the answers of all
	// workers at once.
	overloadTime = 3 * time.Second
	maxLateGap   = 2 * time.Second
	// overloadReportGap is the least time between two reports of an overload.
	overloadReportGap = 20 * time.Second
	// offerTimeout is how long a scheduler waits for an offer, and offerLease how
	// long one lasts.
	offerTimeout   = 400 * time.Millisecond
	offerLeaseTime = 2 * time.Second
	// minOfferFactor is how much stronger a host has to be to offer.
	minOfferFactor = 1.5
)

var overloadCount = metrics.GetOrCreateCounter("cicadawharf_domain_overloads_total")

// observe takes how long an event has waited, and tells whether an overload is to
// be reported now.
func (od *overloadDetector) observe(now time.Time, waited time.Duration) bool {
	if waited < lateThreshold {
		return false
	}
	if now.Sub(od.lastLate) > maxLateGap {
		od.lateSince = now
	}
	od.lastLate = now
	if now.Sub(od.lateSince) < overloadTime || (!od.lastReport.IsZero() && now.Sub(od.lastReport) < overloadReportGap) {
		return false
	}
	od.lastReport = now
	return true
}

// observeWait notes how long an event has waited.
func (te *term) observeWait(at time.Time) {
	now := time.Now()
	waited := now.Sub(at)
	if !te.overload.observe(now, waited) {
		return
	}
	overloadCount.Inc()
	te.log.Warn("scheduler can't keep up", "event", "overloaded", "waited", waited.Round(time.Millisecond), "cores", te.cfg.Cores)
	go te.requestHandover()
}

// requestHandover ends the term if a stronger host offers to schedule.
func (te *term) requestHandover() {
	if te.cfg.Cores <= 0 {
		return
	}
	if err := te.writeHandoverKey(batch.ReliefKey, te.lease, te.cfg.Cores); err != nil {
		te.log.Warn("relief is not asked for", "event", "reliefFails", "reason", err)
		return
	}
	if !te.pauseFor(offerTimeout) {
		return
	}
	en, _, err := te.cfg.Store.Get(te.ctx, batch.OfferKey)
	if err != nil {
		te.log.Warn("offers can't be read", "event", "reliefFails", "reason", err)
		return
	}
	if en.Revision == 0 {
		te.log.Info("no stronger host offers", "event", "reliefFails", "reason", "none is there")
		return
	}
	te.log.Info("a stronger host takes over", "event", "relieved", "cores", string(en.Value))
	te.end()
}

// offerTakeover answers a scheduler that asks for relief, if this host is much stronger.
func (sc *Scheduler) offerTakeover(ctx context.Context, en store.Entry) {
	asked, err := strconv.ParseFloat(string(en.Value), 64)
	if err != nil {
		sc.cfg.Log.Warn("entry of the store is not used", "event", "foreignEntry", "key", en.Key, "reason", err)
		return
	}
	if sc.cfg.Cores < minOfferFactor*asked {
		return
	}
	lease, err := sc.cfg.Store.Grant(ctx, offerLeaseTime)
	if err == nil {
		err = sc.writeHandoverKey(batch.OfferKey, lease, sc.cfg.Cores)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) { // else another host was first
		sc.cfg.Log.Warn("relief is not offered", "event", "reliefFails", "reason", err)
	}
}

// writeHandoverKey creates a key that holds the cores of this host.
func (sc *Scheduler) writeHandoverKey(key string, lease store.LeaseID, cores float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	tx := store.Txn{Puts: []store.Put{{Key: key, Value: strconv.AppendFloat(nil, cores, 'g', -1, 64), Lease: lease}}}
	if key == batch.OfferKey {
		tx.Expect = []store.Expectation{{Key: key}}
	}
	_, _, err := sc.cfg.Store.Commit(ctx, tx)
	return err
}
