package drive

import (
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// evacuations tracks the operators' requests to evacuate availability zones. A
// zone is evacuated while the key of a request for it is in the store.
type evacuations struct {
	*term
	prefix    string
	zones     map[string]bool
	watchFrom store.Revision
}

// loadEvacuations reads the current requests.
func (te *term) loadEvacuations() (*evacuations, error) {
	ev := &evacuations{term: te, prefix: te.cfg.Layout.EvacuationPrefix, zones: map[string]bool{}}
	if ev.prefix == "" {
		return ev, nil
	}
	var err error
	ev.watchFrom, err = ev.read()
	return ev, merry.Prepend(err, "list "+ev.prefix)
}

// start watches the requests until the term ends.
func (ev *evacuations) start() {
	if ev.prefix != "" {
		go ev.watch(ev.prefix, ev.watchFrom, 0, ev.apply, ev.relist)
	}
}

// read replaces the set of zones by the requests in the store and returns the
// revision at which it read them.
func (ev *evacuations) read() (store.Revision, error) {
	ents, rev, err := ev.cfg.Store.List(ev.ctx, ev.prefix)
	if err != nil {
		return 0, err
	}
	clear(ev.zones)
	for _, en := range ents {
		ev.zones[ev.zone(en)] = true
	}
	return rev, nil
}

func (ev *evacuations) zone(en store.Entry) string { return strings.TrimPrefix(en.Key, ev.prefix) }

func (ev *evacuations) zoneNames() []string { return slices.Sorted(maps.Keys(ev.zones)) }

// apply handles a change of one request and passes the new set of zones to the
// core.
func (ev *evacuations) apply(en store.Entry) {
	if en.Value == nil {
		delete(ev.zones, ev.zone(en))
	} else {
		ev.zones[ev.zone(en)] = true
	}
	ev.term.send(domain.EvacuationSet{Zones: ev.zoneNames()})
}

// relist reads all requests again after the store has compacted changes that
// the watch needs.
func (ev *evacuations) relist() (store.Revision, error) {
	rev, err := ev.read()
	if err != nil {
		return 0, err
	}
	ev.term.send(domain.EvacuationSet{Zones: ev.zoneNames()})
	return rev, nil
}
