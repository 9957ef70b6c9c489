package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// checkOptions holds the flags of check.
	checkOptions struct {
		remote
		output
		file    string
		against bool
	}

	// checkResult is the result of check.
	checkResult struct {
		Valid    bool           `json:"valid"`
		Faults   []client.Fault `json:"faults,omitempty"`
		Warnings []string       `json:"warnings,omitempty"`
		Revision *int64         `json:"revision,omitempty"` // the one in force, with --against
		Changes  []spec.Change  `json:"changes,omitempty"`
	}

	// applyOptions holds the flags of apply.
	applyOptions struct {
		remote
		output
		file   string
		expect int64
		wait   time.Duration
	}
)

// expectCurrent is the value of --expect that stands for the revision in force
// when the command starts.
const expectCurrent = -1

func (en *env) checkCommand() *command {
	var op checkOptions
	return &command{
		name:        "check",
		description: "checks a declarations file, without a running system unless --against is given",
		usage:       "FILE",
		positionals: []positional{{&op.file, "file", "declarations file (required)", true}},
		flags: func(sc *flaggy.Subcommand) {
			sc.Bool(&op.against, "", "against", "check against the running system and list the changes")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.check(ctx, &op) },
	}
}

func (en *env) check(ctx context.Context, op *checkOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	data, doc, err := loadDeclarations(op.file)
	if err != nil {
		return en.emitFaults(err)
	}
	rs := checkResult{Valid: true}
	if op.against {
		if rs, err = en.checkAgainst(ctx, op, data, doc.Declarations); err != nil {
			return err
		}
	}
	return emit(en, rs, writeCheck)
}

// checkAgainst has the running system check the file and compares the file with
// the declarations in force.
func (en *env) checkAgainst(ctx context.Context, op *checkOptions, data []byte, next *spec.Declarations) (checkResult, error) {
	cl, err := op.client()
	if err != nil {
		return checkResult{}, err
	}
	defer cl.Close()
	ap, err := cl.Check(ctx, data)
	if err != nil {
		en.printFaults(op.file, ap.Faults)
		return checkResult{}, err
	}
	inf, err := cl.Declarations(ctx)
	if err != nil {
		return checkResult{}, err
	}
	doc, err := spec.Parse("declarations in force", inf.Content)
	if err != nil {
		return checkResult{}, codes.New(codes.InternalFailure, "the declarations in force can't be parsed: %v", err)
	}
	return checkResult{
		Valid: true, Revision: &inf.Revision, Changes: spec.Compare(doc.Declarations, next), Warnings: ap.Warnings,
	}, nil
}

func writeCheck(out io.Writer, rs checkResult) error {
	if rs.Revision == nil {
		_, err := fmt.Fprintln(out, "valid")
		return err
	}
	if _, err := fmt.Fprintf(out, "valid, %d changes against revision %d\n", len(rs.Changes), *rs.Revision); err != nil {
		return err
	}
	for _, cg := range rs.Changes {
		if _, err := fmt.Fprintln(out, cg); err != nil {
			return err
		}
	}
	for _, wa := range rs.Warnings {
		if _, err := fmt.Fprintln(out, "warning: "+wa); err != nil {
			return err
		}
	}
	return nil
}

func (en *env) applyCommand() *command {
	op := applyOptions{expect: expectCurrent}
	return &command{
		name:        "apply",
		description: "replaces all declarations in force with those of a file",
		usage:       "FILE",
		positionals: []positional{{&op.file, "file", "declarations file (required)", true}},
		flags: func(sc *flaggy.Subcommand) {
			sc.Int64(&op.expect, "", "expect", "revision that must be in force; -1 for the one found when the command starts")
			sc.Duration(&op.wait, "", "wait", "how long to wait for all hosts to load the new revision")
			sc.String(&op.operator, "", "operator", "name recorded with the declarations")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.apply(ctx, &op) },
	}
}

func (en *env) apply(ctx context.Context, op *applyOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	if op.expect < expectCurrent {
		return usageErrorf("flag --expect: a revision must not be negative")
	}
	if err := checkWait(op.wait); err != nil {
		return err
	}
	data, _, err := loadDeclarations(op.file)
	if err != nil {
		return en.emitFaults(err)
	}
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	if op.expect == expectCurrent {
		if op.expect, err = revisionInForce(ctx, cl); err != nil {
			return err
		}
	}
	ap, err := cl.Apply(ctx, data, op.expect, op.wait)
	if err != nil {
		en.printFaults(op.file, ap.Faults)
		return en.emitRefusedApply(ap, err)
	}
	if err := emit(en, ap, writeApplied); err != nil {
		return err
	}
	if ap.Code.Class() != codes.Done {
		return &codes.Error{Code: ap.Code, Detail: ap.Detail}
	}
	return nil
}

// revisionInForce returns the revision in force, or zero if the system has no
// declarations yet.
func revisionInForce(ctx context.Context, cl *client.Client) (int64, error) {
	inf, err := cl.Declarations(ctx)
	if err == nil {
		return inf.Revision, nil
	}
	if isCode(err, codes.NotReady) {
		return 0, nil
	}
	return 0, err
}

// emitRefusedApply writes the response to refused declarations if the output is
// JSON. In text output, the error message suffices. It returns the refusal, or
// the error of writing.
func (en *env) emitRefusedApply(ap client.Applied, refusal error) error {
	if !en.json || ap.Code == 0 {
		return refusal
	}
	if err := emit(en, ap, writeApplied); err != nil {
		return err
	}
	return refusal
}

func writeApplied(out io.Writer, ap client.Applied) error {
	_, err := fmt.Fprintf(out, "%s, revision %d\n", ap.Code, ap.Revision)
	return err
}

// loadDeclarations reads and validates a declarations file. The error is a usage
// error or of type spec.Faults.
func loadDeclarations(file string) ([]byte, *spec.Document, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	doc, err := spec.Parse(file, data)
	if err != nil {
		return nil, nil, err
	}
	if fs := place.Check(doc); len(fs) > 0 {
		return nil, nil, fs
	}
	return data, doc, nil
}

// emitFaults writes the faults of a file if the output is JSON and err holds any.
// It returns err, or the error of writing.
func (en *env) emitFaults(err error) error {
	fs, ok := err.(spec.Faults)
	if !ok || !en.json {
		return err
	}
	rs := checkResult{}
	for _, ft := range fs {
		rs.Faults = append(rs.Faults, client.Fault{Line: ft.Line, Column: ft.Column, Message: ft.Message})
	}
	if werr := emit(en, rs, writeCheck); werr != nil {
		return werr
	}
	return err
}

// printFaults prints the faults that the system has found in a file.
func (en *env) printFaults(file string, fs []client.Fault) {
	for _, ft := range fs {
		fmt.Fprintln(en.errOut, spec.Fault{File: file, Line: ft.Line, Column: ft.Column, Message: oneLine(ft.Message)})
	}
}
