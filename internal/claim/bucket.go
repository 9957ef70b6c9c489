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
	// bucket is one value of the store: records by recordID. It is immutable.
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

	// acquisition is a pending call of Acquire.
	acquisition struct {
		claim     Claim
		id        string
		abandoned bool // the caller no longer waits; guarded by Table.mu
		prior     *Claim
		err       error
		done      chan struct{} // closed when prior and err are set
	}

	// settlement is the outcome of a claim, or its release.
	settlement struct {
		id     string
		holder string
		code   codes.Code // class NotRun releases the claim

		// fence tells that a delayed write of the claim may still arrive. The
		// bucket must be written, so that the delayed compare-and-swap fails.
		fence bool
	}

	// batch is the work of one flush.
	batch struct {
		acquisitions []*acquisition
		settlements  []settlement
	}

	// plan is the result of applying a batch to a bucket.
	plan struct {
		next    bucket
		added   []*acquisition
		priors  map[*acquisition]Claim
		changed bool // next must be written
	}
)

const (
	keyPrefix  = "claims/"
	hashLength = 12 // bytes
)

func bucketKey(i int) string { return fmt.Sprintf("%s%04d", keyPrefix, i) }

func shardOf(workspace, key string, shards int) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % uint64(shards))
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

// live tells whether a record hasn't expired.
func (rc record) live(now time.Time) bool { return now.Unix() < rc.Expires }

// toClaim returns the claim of a record, for a request with the same key. Its
// digest is that of requested if their hashes are equal; otherwise it is the
// stored hash, which differs from any digest.
func (rc record) toClaim(requested Claim) *Claim {
	_, request, _ := strings.Cut(rc.Holder, "/")
	cl := &Claim{Workspace: requested.Workspace, Key: requested.Key, Digest: rc.Digest, Request: request, Code: rc.Code}
	if rc.Digest == shortHash(requested.Digest) {
		cl.Digest = requested.Digest
	}
	return cl
}

// plan applies a batch to a bucket: first the settlements, then the
// acquisitions, each in the order of arrival.
func (bk bucket) plan(now time.Time, ba batch, recordOf func(*acquisition) record) plan {
	pl := plan{next: bucket{Claims: bk.liveClaims(now)}, priors: map[*acquisition]Claim{}}
	for _, se := range ba.settlements {
		pl.settle(se)
	}
	for _, aq := range ba.acquisitions {
		if prior, ok := pl.next.Claims[aq.id]; ok {
			pl.priors[aq] = *prior.toClaim(aq.claim)
			continue
		}
		pl.next.Claims[aq.id] = recordOf(aq)
		pl.added = append(pl.added, aq)
		pl.changed = true
	}
	return pl
}

func (pl *plan) settle(se settlement) {
	pl.changed = pl.changed || se.fence
	rc, ok := pl.next.Claims[se.id]
	if !ok || rc.Holder != se.holder || rc.Code == se.code {
		return
	}
	pl.changed = true
	if se.code.Class() == codes.NotRun {
		delete(pl.next.Claims, se.id)
		return
	}
	rc.Code = se.code
	pl.next.Claims[se.id] = rc
}

func (bk bucket) liveClaims(now time.Time) map[string]record {
	live := maps.Clone(bk.Claims)
	if live == nil {
		live = map[string]record{}
	}
	maps.DeleteFunc(live, func(_ string, rc record) bool { return !rc.live(now) })
	return live
}
