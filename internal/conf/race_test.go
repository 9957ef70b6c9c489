package conf_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// attempt is one call of an operator, a read if it has no content.
	attempt struct {
		content string
		expect  int64
	}

	// outcome is the reply that the operator received. A read has the code
	// JobNotFound, which Apply never returns.
	outcome struct {
		code     codes.Code
		revision int64
		content  string // of a read
	}

	// register is the state of the model: the file in force.
	register struct {
		revision int64
		content  string
	}
)

// model is a register with compare-and-set by revision.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		re, at, out := state.(register), input.(attempt), output.(outcome)
		next := register{re.revision + 1, at.content}
		switch out.code {
		case codes.JobNotFound: // a read
			if out.revision == re.revision && out.content == re.content {
				return []any{re}
			}
		case codes.Applied:
			if at.expect == re.revision && out.revision == next.revision {
				return []any{next}
			}
		case codes.RevisionConflict:
			if at.expect != re.revision {
				return []any{re}
			}
		case codes.StoreUnavailable:
			return []any{re}
		case codes.ApplyUnknown:
			if at.expect == re.revision {
				return []any{re, next}
			}
			return []any{re}
		}
		return nil
	},
}

// TestConcurrentApplyIsLinearizable makes operators apply files concurrently
// under faults and checks that the history of replies is linearizable.
func TestConcurrentApplyIsLinearizable(t *testing.T) {
	const operators, calls = 4, 12
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			sv, _ := start(t)
			var mu sync.Mutex
			var history []porcupine.Operation
			began := time.Now()
			var wg sync.WaitGroup
			for op := range operators {
				st := sv.Client(t, kvsim.Timeout)
				rnd := rand.New(rand.NewPCG(seed, uint64(op)))
				wg.Go(func() {
					for i := range calls {
						sv.SetFaults(randomFaults(rnd))
						at := attempt{content: fmt.Sprintf("%d-%d", op, i)}
						call := time.Since(began)
						at, out := perform(t.Context(), st, rnd, at)
						mu.Lock()
						history = append(history, porcupine.Operation{
							ClientId: op, Input: at, Call: int64(call), Output: out, Return: int64(time.Since(began)),
						})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			tally := map[codes.Code]int{}
			for i, op := range history {
				out := op.Output.(outcome)
				tally[out.code]++
				if out.code == codes.ApplyUnknown {
					history[i].Return = int64(time.Since(began)) // may still take effect
				}
			}
			t.Log(tally)
			is.True(tally[codes.Applied] > 0)
			is.Equal(porcupine.CheckOperationsTimeout(model.ToModel(), history, kvsim.Timeout), porcupine.Ok)
		})
	}
}

// randomFaults returns no faults in half of the cases.
func randomFaults(rnd *rand.Rand) kvsim.Faults {
	switch rnd.IntN(6) {
	case 0:
		return kvsim.Faults{LoseAnswers: rnd.IntN(8)}
	case 1:
		return kvsim.Faults{RefuseFirst: rnd.IntN(8)}
	case 2:
		return kvsim.Faults{Down: true}
	default:
		return kvsim.Faults{}
	}
}

// perform reads the file in force and, in two of three cases, applies a file that
// expects its revision. If the read fails, the returned attempt expects revision
// -1, which never exists.
func perform(ctx context.Context, st store.Store, rnd *rand.Rand, at attempt) (attempt, outcome) {
	seen, content, err := readManifest(ctx, st)
	if err != nil {
		return attempt{expect: -1}, outcome{code: codes.StoreUnavailable}
	}
	if rnd.IntN(3) == 0 {
		return attempt{}, outcome{code: codes.JobNotFound, revision: seen, content: content}
	}
	at.expect = seen
	cur, _, err := conf.Apply(ctx, noon, st, conf.ApplyRequest{
		File: "f.yaml", Content: variant(at.content), Expect: &seen, By: at.content,
	})
	if err != nil {
		return at, outcome{code: codes.Of(err).Code, revision: cur.Revision}
	}
	return at, outcome{code: codes.Applied, revision: cur.Revision}
}

// readManifest returns the revision of the file in force and its name as given to
// variant, which the tests also use as the name of the operator. Both come from the
// result of a deliberate revision conflict.
func readManifest(ctx context.Context, st store.Store) (int64, string, error) {
	none := int64(-1)
	cur, _, err := conf.Apply(ctx, noon, st, conf.ApplyRequest{File: "f.yaml", Content: variant("read"), Expect: &none})
	var ce *codes.Error
	if errors.As(err, &ce) && ce.Code == codes.RevisionConflict {
		return cur.Revision, cur.AppliedBy, nil
	}
	return 0, "", err
}
