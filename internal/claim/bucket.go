package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// bucket is the value of one key of the store: records by recordID. It is
	// immutable.
	bucket struct {
		Claims map[string]record `json:"claims"`
	}

	// record is the stored form of a claim. Key and digest are stored as short
	// hashes, because every write rewrites the whole bucket.
	record struct {
		Digest  string     `json:"digest"`
		Holder  string     `json:"holder"` // host/request
		Code    codes.Code `json:"code,omitempty"`
		Expires int64      `json:"expires"` // seconds since 1970
	}

	// pendingClaim is a claim whose caller waits until it is stored.
	pendingClaim struct {
		claim     Claim
		id        string
		abandoned bool // the caller no longer waits; guarded by Table.mu
		prior     *Claim
		err       error
		done      chan struct{} // closed when prior and err are set
	}

	// outcome is the outcome of the request that holds a claim, or the claim's
	// release.
	outcome struct {
		id     string
		holder string
		code   codes.Code // class NotRun releases the claim

		// mustWrite is set if a delayed write of the claim may still arrive. The
		// bucket is then written even if it doesn't change, so that the delayed
		// compare-and-swap fails.
		mustWrite bool
	}

	// pendingWork is a batch of claims and outcomes that one flush writes.
	pendingWork struct {
		claims   []*pendingClaim
		outcomes []outcome
	}

	// plan is the result of applying a batch to a bucket.
	plan struct {
		next    bucket
		added   []*pendingClaim         // claims of the batch that next has
		priors  map[*pendingClaim]Claim // of the other claims of the batch
		changed bool                    // next must be written
	}
)

const (
	keyPrefix  = "claims/"
	hashLength = 12 // bytes
)

func bucketKey(i int) string { return fmt.Sprintf("%s%04d", keyPrefix, i) }

// bucketIndex returns the number of the bucket that a key belongs to.
func bucketIndex(workspace, key string, buckets int) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % uint64(buckets))
}

// recordID returns the identifier of a key within its bucket.
func recordID(workspace, key string) string { return shortHash(workspace + "\x00" + key) }

func shortHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:hashLength])
}

func decodeBucket(ent store.Entry) (bucket, error) {
	var bk bucket
	if len(ent.Value) == 0 {
		return bk, nil
	}
	if err := json.Unmarshal(ent.Value, &bk); err != nil {
		return bk, merry.Prepend(err, ent.Key)
	}
	return bk, nil
}

// isLive reports whether a record hasn't expired.
func (rc record) isLive(now time.Time) bool { return now.Unix() < rc.Expires }

// toClaim returns the claim of a record for the requested claim of the same key.
// The record has only a hash of its digest. If that is the hash of the requested
// digest, the returned claim has the requested digest; otherwise it has the hash,
// which is shorter than a digest and so equals none.
func (rc record) toClaim(requested Claim) *Claim {
	_, request, _ := strings.Cut(rc.Holder, "/")
	cl := &Claim{Workspace: requested.Workspace, Key: requested.Key, Digest: rc.Digest, Request: request, Code: rc.Code}
	if rc.Digest == shortHash(requested.Digest) {
		cl.Digest = requested.Digest
	}
	return cl
}

// plan applies a batch to a bucket: first the outcomes, then the claims, each in
// the order of arrival.
func (bk bucket) plan(now time.Time, pw pendingWork, recordOf func(*pendingClaim) record) plan {
	pl := plan{next: bucket{Claims: bk.liveClaims(now)}, priors: map[*pendingClaim]Claim{}}
	for _, oc := range pw.outcomes {
		pl.recordOutcome(oc)
	}
	for _, pc := range pw.claims {
		if prior, ok := pl.next.Claims[pc.id]; ok {
			pl.priors[pc] = *prior.toClaim(pc.claim)
			continue
		}
		pl.next.Claims[pc.id] = recordOf(pc)
		pl.added = append(pl.added, pc)
		pl.changed = true
	}
	return pl
}

// recordOutcome applies an outcome to pl.next. An outcome of a request that
// doesn't hold the claim is ignored.
func (pl *plan) recordOutcome(oc outcome) {
	pl.changed = pl.changed || oc.mustWrite
	rc, ok := pl.next.Claims[oc.id]
	if !ok || rc.Holder != oc.holder || rc.Code == oc.code {
		return
	}
	pl.changed = true
	if oc.code.Class() == codes.NotRun {
		delete(pl.next.Claims, oc.id)
		return
	}
	rc.Code = oc.code
	pl.next.Claims[oc.id] = rc
}

func (bk bucket) liveClaims(now time.Time) map[string]record {
	live := maps.Clone(bk.Claims)
	if live == nil {
		live = map[string]record{}
	}
	maps.DeleteFunc(live, func(_ string, rc record) bool { return !rc.isLive(now) })
	return live
}
