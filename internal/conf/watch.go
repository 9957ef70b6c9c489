package conf

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

// errWatchEnded reports that a watch ended without an error.
var errWatchEnded = errors.New("watch ended")

// watchLoop reads the manifest, watches it for changes, and starts over after a
// pause when the watch ends. The pause doubles up to maxWatchPause; a watch that
// lasted longer than that resets it.
func (fo *Follower) watchLoop(ctx context.Context) {
	wait := minWatchPause
	for ctx.Err() == nil {
		began := time.Now()
		err := fo.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		fo.log.Debug("watch of the declarations ended", "error", err)
		if time.Since(began) > maxWatchPause {
			wait = minWatchPause
		}
		fo.pause(ctx, wait)
		wait = min(2*wait, maxWatchPause)
	}
}

func (fo *Follower) watch(ctx context.Context) error {
	at, _, err := fo.readManifest(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fo.mu.Lock()
	fo.endWatch = cancel
	fo.mu.Unlock()
	err = fo.st.Watch(ctx, ManifestKey, at, func(ent store.Entry) error {
		fo.storeUp.Store(true)
		_, err := fo.adoptManifest(ctx, ent)
		return err
	})
	if err == nil {
		err = errWatchEnded
	}
	return err
}

// pollLoop reads the manifest periodically. If a read finds a change that the
// watch hasn't delivered, it restarts the watch.
func (fo *Follower) pollLoop(ctx context.Context) {
	for {
		fo.pause(ctx, fo.pollEvery)
		if ctx.Err() != nil {
			return
		}
		_, adopted, err := fo.readManifest(ctx)
		if err != nil {
			fo.log.Warn("reading the declarations from the store failed", "error", err)
		}
		if adopted {
			fo.restartWatch()
		}
	}
}

func (fo *Follower) restartWatch() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.endWatch != nil {
		fo.endWatch()
	}
}

// readManifest reads the manifest once and adopts its declarations if they are
// newer. It returns the store's revision and whether it adopted any.
func (fo *Follower) readManifest(ctx context.Context) (store.Revision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	inForce := fo.Current()
	ent, at, err := fo.st.Get(ctx, ManifestKey)
	fo.storeUp.Store(err == nil)
	if err != nil {
		return 0, false, err
	}
	adopted, err := fo.adoptManifest(ctx, ent)
	if err != nil {
		return 0, false, err
	}
	if inForce != nil {
		fo.repairStore(ctx, ent, inForce)
	}
	return at, adopted, nil
}

// adoptManifest adopts the declarations of a manifest if they are newer.
func (fo *Follower) adoptManifest(ctx context.Context, ent store.Entry) (bool, error) {
	mf, err := decodeManifest(ent)
	if err != nil {
		return false, err
	}
	if mf.Revision <= fo.Revision() {
		return false, nil
	}
	content, err := loadContent(ctx, fo.st, mf)
	if err != nil {
		return false, err
	}
	af, err := Parse(mf.Revision, content, mf.AppliedBy, mf.AppliedAt)
	if err != nil {
		fo.log.Error("parsing the declarations failed", "revision", mf.Revision, "error", err)
		return false, err
	}
	return fo.Adopt(time.Now(), af.WithSince(mf.Since)), nil
}

// repairStore replaces the manifest ent of a store that was restored from an
// older backup. Such a store is recognized by a manifest with a smaller revision
// than the declarations that were in force on this host before the read, or with
// the same revision and another content or time of application; otherwise
// revisions never decrease and aren't reused.
//
// It writes the declarations that were accepted last, which are either those in
// force on this host or, if a file was applied after the restore, those in the
// store:
//
//	accepted last  revisions of both  written revision
//	this host's    differ             that of this host
//	this host's    equal              that of this host plus one
//	the store's    differ or equal    that of this host plus one
//
// Every host adopts the larger revision. All hosts attempt the same write, and
// the compare-and-swap lets one succeed. A repair that fails is attempted again
// after the next read.
func (fo *Follower) repairStore(ctx context.Context, ent store.Entry, inForce *AcceptedFile) {
	mf, err := decodeManifest(ent)
	if err != nil || mf.Revision > inForce.Revision || mf.matches(inForce) {
		return
	}
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	ap := applier{st: fo.st, applyID: id.String(), now: time.Now()}
	next := mf.successor(inForce.Revision, ap.applyID)
	content := inForce.Content
	next.AppliedBy, next.AppliedAt, next.Since = inForce.AppliedBy, inForce.AppliedAt, inForce.Since
	storedIsLater := mf.AppliedAt.After(inForce.AppliedAt)
	if storedIsLater {
		if content, err = loadContent(ctx, fo.st, mf); err != nil {
			return
		}
		next.AppliedBy, next.AppliedAt = mf.AppliedBy, mf.AppliedAt
	}
	if storedIsLater || mf.Revision == inForce.Revision {
		next.Revision++
	}
	fo.log.Warn("store was restored from an older backup; replacing its manifest", "held", mf.Revision, "inForce", inForce.Revision, "written", next.Revision)
	next, chunks := next.withContent(content)
	if err := ap.replace(ctx, ent.Revision, mf, next, chunks); err != nil {
		fo.log.Warn("replacing the manifest of a restored store failed", "error", err)
	}
}
