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
	// bucket is one value of the store: records by their identifier. It is
	// immutable.
	bucket struct {
		Claims map[string]record `json:"claims"`
	}

	// record is one claim as it is stored. Key and digest are kept as short
	// hashes, since the size of a bucket is what every write of it costs.
	record struct {
		Digest  string     `json:"digest"`
		Holder  string     `json:"holder"` // host/request
		Code    codes.Code `json:"code,omitempty"`
		Expires int64      `json:"expires"` // seconds since 1970
	}

	// take is one call of Take that waits for its result.
	take struct {
		claim     Claim
		id        string
		abandoned bool // nobody waits any more; guarded by Table.mu
		prior     *Claim
		err       error
		done      chan struct{} // closed when prior and err are set
	}

	// settlement is the end of a claim: its outcome, or its release.
	settlement struct {
		id     string
		holder string
		code   codes.Code // class NotRun releases the claim

		// fence says that the claim may be in a write that is still on its
		// way; the bucket has to be written to keep that from taking effect.
		fence bool
	}

	// batch is what one flush works off.
	batch struct {
		takes       []*take
		settlements []settlement
	}

	// plan is what a batch makes of a bucket.
	plan struct {
		next    bucket
		added   []*take
		priors  map[*take]Claim
		changed bool // next has to be written
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

// recordID names a key within its bucket.
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

// live tells whether a record is in the way of others.
func (rc record) live(now time.Time) bool { return now.Unix() < rc.Expires }

// toClaim returns the claim that a record stands for, as an answer to asked.
// Equal digests come back equal; others are told apart by their hash.
func (rc record) toClaim(requested Claim) *Claim {
	_, request, _ := strings.Cut(rc.Holder, "/")
	cl := &Claim{Workspace: requested.Workspace, Key: requested.Key, Digest: rc.Digest, Request: request, Code: rc.Code}
	if rc.Digest == shortHash(requested.Digest) {
		cl.Digest = requested.Digest
	}
	return cl
}

// plan works a batch off on a bucket: first what has ended, then what begins,
// in the order of arrival.
func (bk bucket) plan(now time.Time, ba batch, recordOf func(*take) record) plan {
	pl := plan{next: bucket{Claims: bk.liveClaims(now)}, priors: map[*take]Claim{}}
	for _, se := range ba.settlements {
		pl.settle(se)
	}
	for _, tk := range ba.takes {
		if prior, ok := pl.next.Claims[tk.id]; ok {
			pl.priors[tk] = *prior.toClaim(tk.claim)
			continue
		}
		pl.next.Claims[tk.id] = recordOf(tk)
		pl.added = append(pl.added, tk)
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
