// Package cmds implements the command line of cicadawharf.
//
// The exit code is 0 for success, 1 for work that was refused or failed, and 2
// for a usage error, such as a wrong flag, a missing file or an invalid field.
// The result code of refused or failed work is printed to standard error.
// Results go to standard output and everything else to standard error, except the
// log of domain, which goes to standard output.
//
// The flags are parsed by flaggy, which prints and exits on its own if they are
// invalid. All arguments are therefore validated first, against the flags that
// are declared to flaggy, so that it only sees arguments it accepts.
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
	// Runners holds the implementations of the commands that run hosts or
	// simulators in the process. They return when ctx is done or their work has
	// ended.
	Runners struct {
		Serve   func(ctx context.Context, se setup.Settings, log io.Writer) error
		Domain  func(ctx context.Context, file string, log io.Writer) error
		Local   func(ctx context.Context, op LocalOptions) error
		Standin func(ctx context.Context, op StandinOptions) error
	}

	// env is the environment of a command: its arguments and outputs.
	env struct {
		args    []string // arguments after the command's name
		out     io.Writer
		errOut  io.Writer
		runners Runners
		json    bool // whether results, and errors without a result, are written to out as JSON
		emitted bool // whether a result has been written to out
	}

	// usageError is an error in the arguments of a command or in a file that
	// they name.
	usageError struct {
		text string
	}
)

// The exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const program = "cicadawharf"

// Main runs the command given by args, which don't include the program's name,
// and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer, runners Runners) int {
	en := &env{out: out, errOut: errOut, runners: runners}
	if len(args) == 0 {
		return en.finish(program, usageErrorf("a command is required; see %s --help", program))
	}
	if isHelp(args[0]) {
		en.printHelp()
		return ExitOK
	}
	cm, ok := en.command(args[0])
	if !ok {
		return en.finish(program, usageErrorf("unknown command %q; see %s --help", args[0], program))
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

// finish prints the error of a command, if there is one, and returns the exit
// code.
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
		en.printCodeError(name, ce)
		return ExitFailure
	default:
		fmt.Fprintf(en.errOut, "%s: %s\n", name, oneLine(err.Error()))
		return ExitFailure
	}
}

// printCodeError prints an error with a result code to standard error and, with
// --output json, as JSON to standard output unless a result has been written.
func (en *env) printCodeError(name string, ce *codes.Error) {
	line := oneLine(ce.Error())
	if ce.RetryAfter > 0 {
		line += fmt.Sprintf(" (retry after %v)", ce.RetryAfter)
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

// usageErrorf returns a usageError with a formatted text.
func usageErrorf(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

func isHelp(arg string) bool { return arg == "--help" || arg == "-h" }

// oneLine returns text with its line breaks replaced by semicolons, and other
// white space by single spaces.
func oneLine(text string) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(text, "\n", "; ")), " ")
}
