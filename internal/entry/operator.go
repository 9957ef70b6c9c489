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
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const (
	maxDeclarationsBytes = 8 << 20
	// tokenBytes is what decoding takes up for each token of declarations: the token, its
	// node of the syntax tree and its position. textFactor is what it takes up for the
	// text, divided by its size.
	tokenBytes = 400
	textFactor = 32
)

// applyDeclarations serves PUT /v1/declarations.
func (sr *Server) applyDeclarations(ctx context.Context, ar *apiRequest) *codes.Error {
	expect, er := ar.expect()
	if er != nil {
		return er
	}
	wait, er := ar.wait()
	if er != nil {
		return er
	}
	content, release, er := ar.body(maxDeclarationsBytes)
	defer release()
	if er != nil {
		return er
	}
	done, er := ar.reserveDecode(ctx, content)
	if er != nil {
		return er
	}
	defer done()
	ap, err := sr.cfg.OperatorAPI.Apply(ctx, ApplyRequest{
		Content: content, Operator: ar.r.Header.Get(client.HeaderOperator), Expect: expect, Wait: wait,
	})
	er = codes.Of(err)
	if er != nil && er.Code == codes.InternalFailure {
		er = codes.New(codes.ApplyUnknown, "%s", er.Detail)
	}
	ar.writeApplied(ap, er)
	return nil
}

// checkDeclarations serves POST /v1/declarations/check.
func (sr *Server) checkDeclarations(ctx context.Context, ar *apiRequest) *codes.Error {
	content, release, er := ar.body(maxDeclarationsBytes)
	defer release()
	if er != nil {
		return er
	}
	done, er := ar.reserveDecode(ctx, content)
	if er != nil {
		return er
	}
	defer done()
	ap, err := sr.cfg.OperatorAPI.Check(ctx, content)
	ar.writeApplied(ap, codes.Of(err))
	return nil
}

// reserveDecode reserves room for decoding declarations until release is called. A file
// that needs all of the room is decoded alone.
func (ar *apiRequest) reserveDecode(ctx context.Context, content []byte) (release func(), er *codes.Error) {
	gu := ar.sr.cfg.Guard
	need := tokenBytes * int64(spec.MaxTokens(content))
	limit := gu.MaxDecode()
	if need > limit {
		return nil, codes.New(codes.BodyTooLarge, "the declarations have up to %d tokens, the limit of this host is %d", need/tokenBytes, limit/tokenBytes)
	}
	release, err := gu.Decode(ctx, min(need+textFactor*int64(len(content)), limit))
	if err != nil {
		return nil, codes.New(codes.Overloaded, "too many declarations are being decoded")
	}
	return release, nil
}

// writeApplied writes the result of applying or checking declarations, also if
// they were refused.
func (ar *apiRequest) writeApplied(ap client.Applied, er *codes.Error) {
	if er == nil {
		cd := ap.Code
		if _, known := codes.Lookup(cd); !known {
			cd = codes.Applied
		}
		er = &codes.Error{Code: cd, Detail: ap.Detail}
	}
	er = ar.sr.withRetryAfter(er)
	ap.Answer = newAnswer(ar.id, er)
	ar.w.Header().Set(client.HeaderRevision, strconv.FormatInt(ap.Revision, 10))
	ar.write(er, ap)
}

// expect returns the revision that must be in force, by the parameter expect, or
// AnyRevision if it is missing.
func (ar *apiRequest) expect() (int64, *codes.Error) {
	text, er := ar.query("expect")
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
func (sr *Server) getDeclarations(ctx context.Context, ar *apiRequest) *codes.Error {
	content, revision, err := sr.cfg.OperatorAPI.Declarations(ctx)
	if err != nil {
		return codes.Of(err)
	}
	ar.w.Header().Set(client.HeaderRevision, strconv.FormatInt(revision, 10))
	sr.writeBody(ar.w, ar.id, &codes.Error{Code: codes.RequestDone}, typeYAML, content)
	return nil
}

// getStatus serves GET /v1/status.
func (sr *Server) getStatus(ctx context.Context, ar *apiRequest) *codes.Error {
	st, err := sr.cfg.OperatorAPI.Status(ctx)
	if err != nil {
		return codes.Of(err)
	}
	ar.w.Header().Set(client.HeaderRevision, strconv.FormatInt(st.Revision, 10))
	ar.write(&codes.Error{Code: codes.RequestDone}, st)
	return nil
}

// getReport serves GET /v1/report.
func (sr *Server) getReport(ctx context.Context, ar *apiRequest) *codes.Error {
	day, er := ar.query("day")
	if er != nil {
		return er
	}
	if day != "" {
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return codes.New(codes.BadRequest, "parameter day must be YYYY-MM-DD")
		}
	}
	rp, err := sr.cfg.OperatorAPI.Report(ctx, day)
	if err != nil {
		return codes.Of(err)
	}
	done := &codes.Error{Code: codes.RequestDone}
	if text, ok := rp.(fmt.Stringer); ok && wantsText(ar.r) {
		sr.writeBody(ar.w, ar.id, done, typeText, []byte(text.String()))
		return nil
	}
	ar.write(done, rp)
	return nil
}

// wantsText reports whether the Accept header begins with plain text. Otherwise,
// the operator gets JSON.
func wantsText(r *http.Request) bool { return strings.HasPrefix(r.Header.Get("Accept"), "text/plain") }
