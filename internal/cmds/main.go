// Package cmds is the command line of cicadawharf.
//
// Exit codes: 0 for success, 1 for work that the system refused or that did
// not end well, with its result code on standard error, and 2 for a mistake of
// the caller: a wrong flag, a missing file, a faulty field. Results go to
// standard output and everything else to standard error.
//
// The flags are parsed by flaggy, which exits and prints by itself on a
// mistake. All arguments are therefore examined first, by the flags that are
// declared to flaggy, so that it only sees what it accepts.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Runners start the processes of the commands that are one.
	Runners struct {
		Serve   func(ctx context.Context, se setup.Settings, log io.Writer) error
		Domain  func(ctx context.Context, file string, log io.Writer) error
		Local   func(ctx context.Context, op LocalOptions) error
		Standin func(ctx context.Context, op StandinOptions) error
	}

	// env is what a command runs in.
	env struct {
		args    []string // after the command's name
		out     io.Writer
		errOut  io.Writer
		run     Runners
		json    bool // errors go to out as JSON, too
		emitted bool // out has got a result
	}

	// usageError is a mistake of the caller of a command.
	usageError struct {
		text string
	}
)

// The exit codes.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
)

const program = "cicadawharf"

// Main runs the command that args, without the program's name, ask for and
// returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer, run Runners) int {
	en := &env{out: out, errOut: errOut, run: run}
	if len(args) == 0 {
		return en.finish(program, usage("a command is needed; see %s --help", program))
	}
	if isHelp(args[0]) {
		en.printHelp()
		return ExitOK
	}
	cm, ok := en.command(args[0])
	if !ok {
		return en.finish(program, usage("unknown command %q; see %s --help", args[0], program))
	}
	en.args = args[1:]
	return en.finish(program+" "+cm.name, en.execute(ctx, cm))
}

// execute parses the arguments of a command and runs it.
func (en *env) execute(ctx context.Context, cm *command) error {
	helpPrinted, err := cm.parse(en)
	if err != nil || helpPrinted {
		return err
	}
	return cm.run(ctx)
}

// finish reports the error of a command and returns the exit code.
func (en *env) finish(name string, err error) int {
	var (
		us *usageError
		fs spec.Faults
		ce *codes.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &us):
		fmt.Fprintf(en.errOut, "%s: %s\n", name, oneLine(us.text))
		return ExitUsage
	case errors.As(err, &fs):
		fmt.Fprintln(en.errOut, fs.Error())
		return ExitUsage
	case errors.As(err, &ce):
		en.finishCode(name, ce)
		return ExitRefused
	default:
		fmt.Fprintf(en.errOut, "%s: %s\n", name, oneLine(err.Error()))
		return ExitRefused
	}
}

// finishCode reports a result code as a line, and as JSON if that was asked
// for and no result was written.
func (en *env) finishCode(name string, ce *codes.Error) {
	line := oneLine(ce.Error())
	if ce.RetryAfter > 0 {
		line += fmt.Sprintf(" (come back in %v)", ce.RetryAfter)
	}
	fmt.Fprintf(en.errOut, "%s: %s\n", name, line)
	if !en.json || en.emitted {
		return
	}
	inf := ce.Code.Info()
	an := client.Answer{
		Code: ce.Code, Name: inf.Name, Class: inf.Class, Detail: ce.Detail,
		RetryAfterMillis: ce.RetryAfter.Milliseconds(),
	}
	if err := writeJSON(en.out, an); err != nil {
		fmt.Fprintf(en.errOut, "%s: %v\n", name, err)
	}
}

// Error implements error.
func (us *usageError) Error() string { return us.text }

func usage(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

func isHelp(arg string) bool { return arg == "--help" || arg == "-h" }

func oneLine(text string) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(text, "\n", "; ")), " ")
}
