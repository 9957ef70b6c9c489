package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const maxDeclarations = 8 << 20 // bytes

// applyDeclarations serves PUT /v1/declarations.
func (sr *Server) applyDeclarations(ctx context.Context, as *ask) *codes.Error {
	expect, er := as.expect()
	if er != nil {
		return er
	}
	wait, er := as.wait()
	if er != nil {
		return er
	}
	content, release, er := as.body(maxDeclarations)
	defer release()
	if er != nil {
		return er
	}
	ap, err := sr.cfg.Operators.Apply(ctx, ApplyRequest{
		Content: content, Operator: as.r.Header.Get(client.HeaderOperator), Expect: expect, Wait: wait,
	})
	er = codes.Of(err)
	if er != nil && er.Code == codes.InternalFailure {
		er = codes.New(codes.ApplyUnknown, "%s", er.Detail)
	}
	as.writeApplied(ap, er)
	return nil
}

// checkDeclarations serves POST /v1/declarations/check.
func (sr *Server) checkDeclarations(ctx context.Context, as *ask) *codes.Error {
	content, release, er := as.body(maxDeclarations)
	defer release()
	if er != nil {
		return er
	}
	ap, err := sr.cfg.Operators.Check(ctx, content)
	as.writeApplied(ap, codes.Of(err))
	return nil
}

// writeApplied answers with what is known of declarations, also when they were
// refused.
func (as *ask) writeApplied(ap client.Applied, er *codes.Error) {
	if er == nil {
		cd := ap.Code
		if _, known := codes.Lookup(cd); !known {
			cd = codes.Applied
		}
		er = &codes.Error{Code: cd, Detail: ap.Detail}
	}
	er = as.sr.withRetry(er)
	ap.Answer = newAnswer(as.id, er)
	as.w.Header().Set(client.HeaderRevision, strconv.FormatInt(ap.Revision, 10))
	as.write(er, ap)
}

// expect returns the revision that must be in force.
func (as *ask) expect() (int64, *codes.Error) {
	text, er := as.query("expect")
	if er != nil || text == "" {
		return AnyRevision, er
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, codes.New(codes.BadRequest, "parameter expect is not a revision")
	}
	return revision, nil
}

// getDeclarations serves GET /v1/declarations.
func (sr *Server) getDeclarations(ctx context.Context, as *ask) *codes.Error {
	content, revision, err := sr.cfg.Operators.Declarations(ctx)
	if err != nil {
		return codes.Of(err)
	}
	as.w.Header().Set(client.HeaderRevision, strconv.FormatInt(revision, 10))
	sr.writeBody(as.w, as.id, &codes.Error{Code: codes.RequestDone}, typeYAML, content)
	return nil
}

// getStatus serves GET /v1/status.
func (sr *Server) getStatus(ctx context.Context, as *ask) *codes.Error {
	st, err := sr.cfg.Operators.Status(ctx)
	if err != nil {
		return codes.Of(err)
	}
	as.w.Header().Set(client.HeaderRevision, strconv.FormatInt(st.Revision, 10))
	as.write(&codes.Error{Code: codes.RequestDone}, st)
	return nil
}

// getReport serves GET /v1/report.
func (sr *Server) getReport(ctx context.Context, as *ask) *codes.Error {
	day, er := as.query("day")
	if er != nil {
		return er
	}
	if day != "" {
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return codes.New(codes.BadRequest, "parameter day must be YYYY-MM-DD")
		}
	}
	rp, err := sr.cfg.Operators.Report(ctx, day)
	if err != nil {
		return codes.Of(err)
	}
	done := &codes.Error{Code: codes.RequestDone}
	if text, ok := rp.(fmt.Stringer); ok && wantsText(as.r) {
		sr.writeBody(as.w, as.id, done, typeText, []byte(text.String()))
		return nil
	}
	as.write(done, rp)
	return nil
}

func wantsText(r *http.Request) bool { return strings.HasPrefix(r.Header.Get("Accept"), "text/plain") }
