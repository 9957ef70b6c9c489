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

type (
	// queuedEvent is an event with the time at which it was queued.
	queuedEvent struct {
		ev domain.Event
		at time.Time
	}

	// overloadDetector detects from the queue waits of events that the leader is
	// overloaded.
	overloadDetector struct {
		delayedSince time.Time // start of the current run of delayed events
		lastDelayed  time.Time // the last delayed event
		lastReport   time.Time // the last reported overload
	}
)

const (
	// delayThreshold is the wait from which an event counts as delayed.
	delayThreshold = 500 * time.Millisecond
	// overloadTime is how long events must be delayed, with gaps of at most
	// maxDelayGap, to count as an overload. A takeover causes a shorter burst,
	// because all workers respond at once.
	overloadTime = 3 * time.Second
	maxDelayGap  = 2 * time.Second
	// overloadReportGap is the minimum time between two overload reports.
	overloadReportGap = 20 * time.Second
	// offerTimeout is how long the leader waits for an offer after its request.
	// offerLeaseTime is how long an offer stays in the store.
	offerTimeout   = 400 * time.Millisecond
	offerLeaseTime = 2 * time.Second
	// minOfferFactor is how many times the leader's cores a host must have to make
	// an offer.
	minOfferFactor = 1.5
)

var overloadCount = metrics.GetOrCreateCounter("cicadawharf_domain_overloads_total")

// observe records that an event has waited in the queue for a while. It reports
// whether the leader is overloaded and this is to be reported now.
func (od *overloadDetector) observe(now time.Time, waited time.Duration) bool {
	if waited < delayThreshold {
		return false
	}
	if now.Sub(od.lastDelayed) > maxDelayGap {
		od.delayedSince = now
	}
	od.lastDelayed = now
	if now.Sub(od.delayedSince) < overloadTime || (!od.lastReport.IsZero() && now.Sub(od.lastReport) < overloadReportGap) {
		return false
	}
	od.lastReport = now
	return true
}

// observeWait records the wait of an event that was queued at the given time,
// and requests a handover if the leader is overloaded.
func (te *term) observeWait(at time.Time) {
	now := time.Now()
	waited := now.Sub(at)
	eventWait.Update(waited.Seconds())
	te.meter.observeWait(waited)
	te.core.ObserveWait(now, waited)
	if !te.overload.observe(now, waited) {
		return
	}
	overloadCount.Inc()
	te.log.Warn("scheduler overloaded", "event", "overloaded", "waited", waited.Round(time.Millisecond), "cores", te.cfg.Cores)
	go te.requestHandover()
}

// requestHandover writes a handover request of this overloaded leader to the
// store. Hosts that wait for the leader key and have many more cores respond
// with an offer. If there is one, the term ends, the leader revokes its lease,
// and a host with more cores wins the next election. Without an offer the host
// stays the leader, because a weak leader is better than a change to another
// weak one. A host whose number of cores is unknown requests nothing.
func (te *term) requestHandover() {
	if te.cfg.Cores <= 0 {
		return
	}
	if err := te.writeHandoverKey(batch.HandoverRequestKey, te.lease, te.cfg.Cores); err != nil {
		te.log.Warn("can't request a handover", "event", "handoverFails", "reason", err)
		return
	}
	if !te.pauseFor(offerTimeout) {
		return
	}
	en, _, err := te.cfg.Store.Get(te.ctx, batch.HandoverOfferKey)
	if err != nil {
		te.log.Warn("can't read handover offers", "event", "handoverFails", "reason", err)
		return
	}
	if en.Revision == 0 {
		te.log.Info("no handover offer, staying leader", "event", "handoverFails", "reason", "no stronger host responded")
		return
	}
	te.log.Info("handing over to a stronger host", "event", "handedOver", "cores", string(en.Value))
	te.end()
}

// offerHandover responds to a handover request, whose value is the leader's
// number of cores, if this host has at least minOfferFactor times as many.
func (sc *Scheduler) offerHandover(ctx context.Context, en store.Entry) {
	leaderCores, err := strconv.ParseFloat(string(en.Value), 64)
	if err != nil {
		sc.cfg.Log.Warn("malformed entry of the store is ignored", "event", "invalidEntry", "key", en.Key, "reason", err)
		return
	}
	if sc.cfg.Cores < minOfferFactor*leaderCores {
		return
	}
	lease, err := sc.cfg.Store.Grant(ctx, offerLeaseTime)
	if err == nil {
		err = sc.writeHandoverKey(batch.HandoverOfferKey, lease, sc.cfg.Cores)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) { // ErrConflict: another host made an offer first
		sc.cfg.Log.Warn("can't make a handover offer", "event", "handoverFails", "reason", err)
	}
}

// writeHandoverKey stores this host's number of cores under the key of a
// handover request or offer. For an offer, it returns store.ErrConflict if
// there is one already.
func (sc *Scheduler) writeHandoverKey(key string, lease store.LeaseID, cores float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	tx := store.Txn{Puts: []store.Put{{Key: key, Value: strconv.AppendFloat(nil, cores, 'g', -1, 64), Lease: lease}}}
	if key == batch.HandoverOfferKey {
		tx.Expect = []store.Expectation{{Key: key}}
	}
	_, _, err := sc.cfg.Store.Commit(ctx, tx)
	return err
}
