package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// outcomeTimeout bounds the recording of the outcome of a claim.
const outcomeTimeout = 2 * time.Second

// claimKey claims the idempotency key of a request that is not repeatable,
// before it is sent to any endpoint or host. For a forwarded request, the
// forwarding host has claimed the key. The code of the error is StoreUnavailable
// if claims are not supported or it is not known whether the claim is stored,
// KeyMismatch if another request has used the key, and DuplicateKey if the same
// request has used it, as told by its digest.
func (cl *call) claimKey(ctx context.Context) *codes.Error {
	if cl.repeatable || cl.hd.key == "" || cl.originZone != "" || cl.claim != nil {
		return nil
	}
	if cl.sr.cfg.Claims == nil {
		return codes.New(codes.StoreUnavailable, "idempotency keys can't be claimed")
	}
	claim := Claim{Workspace: cl.hd.workspace, Key: cl.hd.key, Digest: cl.digest(), Request: cl.id}
	prior, err := cl.sr.cfg.Claims.Acquire(ctx, claim)
	switch {
	case err != nil:
		er := codes.Of(err)
		return codes.New(codes.StoreUnavailable, "the idempotency key can't be claimed: %s", er.Detail).WithRetryAfter(er.RetryAfter)
	case prior == nil:
		cl.claim = &claim
		return nil
	case prior.Digest != claim.Digest:
		return codes.New(codes.KeyMismatch, "the key was used by request %s", prior.Request)
	case prior.Code == 0:
		return codes.New(codes.DuplicateKey, "request %s has the key, and its outcome is not known", prior.Request)
	default:
		return codes.New(codes.DuplicateKey, "request %s had the key and ended as %v", prior.Request, prior.Code)
	}
}

// recordClaimOutcome records the outcome of the request with its idempotency
// key.
func (cl *call) recordClaimOutcome() {
	if cl.claim == nil {
		return
	}
	claim := *cl.claim
	claim.Code = cl.outcome.Code
	cl.claim = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cl.r.Context()), outcomeTimeout)
	defer cancel()
	if err := cl.sr.cfg.Claims.SetOutcome(ctx, claim); err != nil {
		cl.sr.cfg.Log.Warn("claim outcome not recorded", "event", "claim", "request", cl.id, "error", err)
	}
}

// digest returns a digest of everything that must match for two requests with
// the same key to count as the same: service, method, target and body.
func (cl *call) digest() string {
	head, err := json.Marshal([]string{cl.sd.Name, cl.r.Method, cl.target})
	if err != nil {
		return cl.id // differs from that of any other request
	}
	sum := sha256.New()
	sum.Write(head)
	sum.Write(cl.body)
	return hex.EncodeToString(sum.Sum(nil))
}
