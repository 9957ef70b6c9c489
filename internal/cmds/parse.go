package cmds

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

type (
	// command is a command with its flags and arguments.
	command struct {
		name        string
		description string
		usage       string // arguments after the name and flags, for the help
		positionals []positional
		trailing    *[]string                   // receives the arguments after --, nil if none are allowed
		flags       func(sc *flaggy.Subcommand) // declares the flags
		run         func(ctx context.Context) error
	}

	// positional is an argument that is identified by its position.
	positional struct {
		target      *string
		name        string
		description string
		required    bool
	}
)

const endOfFlags = "--"

// commands returns the commands in the order in which the help lists them.
func (en *env) commands() []*command {
	return []*command{
		en.serveCommand(), en.domainCommand(), en.checkCommand(), en.applyCommand(), en.statusCommand(), en.evacuateCommand(),
		en.submitCommand(), en.jobsCommand(), en.cancelCommand(), en.callCommand(),
		en.reportCommand(), en.loadCommand(), en.localCommand(), en.standinCommand(), en.versionCommand(),
	}
}

func (en *env) command(name string) (*command, bool) {
	for _, cm := range en.commands() {
		if cm.name == name {
			return cm, true
		}
	}
	return nil, false
}

// printHelp prints the help of the program, which lists all commands.
func (en *env) printHelp() {
	pr := newParser()
	for _, cm := range en.commands() {
		pr.AttachSubcommand(cm.subcommand(), 1)
	}
	render(pr, en.out)
}

// parse validates and parses the arguments. It returns true if help was
// requested and has been printed.
func (cm *command) parse(en *env) (helpPrinted bool, err error) {
	sc := cm.subcommand()
	pr := newParser()
	pr.AttachSubcommand(sc, 1)
	ac := argChecker{command: cm, flags: sc.Flags}
	if err := ac.check(en.args); err != nil {
		return false, err
	}
	args := en.args
	if ac.helpFlag {
		args = nil
	}
	if err := pr.ParseArgs(append([]string{cm.name}, args...)); err != nil {
		return false, usageErrorf("%v; see %s %s --help", err, program, cm.name)
	}
	if ac.helpFlag {
		render(pr, en.out)
		return true, nil
	}
	if cm.trailing != nil {
		*cm.trailing = pr.TrailingArguments
	}
	return false, nil
}

// subcommand declares the command to flaggy. argChecker and not flaggy checks that
// required positionals are present.
func (cm *command) subcommand() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand(cm.name)
	sc.Description = cm.description
	sc.AdditionalHelpPrepend = "\n  " + strings.TrimSpace(program+" "+cm.name+" [flags] "+cm.usage)
	for i, po := range cm.positionals {
		sc.AddPositionalValue(po.target, po.name, i+1, false, po.description)
	}
	if cm.flags != nil {
		cm.flags(sc)
	}
	return sc
}

// newParser returns a parser that neither prints nor exits if argChecker has
// accepted the arguments.
func newParser() *flaggy.Parser {
	pr := flaggy.NewParser(program)
	pr.Description = "routes requests to endpoints and schedules gang jobs on workers"
	pr.ShowHelpOnUnexpected = false
	pr.ShowHelpWithHFlag = false
	pr.ShowVersionWithVersionFlag = false
	pr.ShowCompletion = false
	return pr
}

// render prints the help of the subcommand that was parsed last, or of the
// program if none was.
func render(pr *flaggy.Parser, out io.Writer) {
	pr.ShowHelpWithHFlag = true
	var he flaggy.Help
	he.ExtractValues(pr, "")
	_, _ = io.WriteString(out, strings.TrimPrefix(strings.Join(he.Lines, "\n"), "\n"))
}

// argChecker checks arguments against the flags and positionals of a command.
type argChecker struct {
	command         *command
	flags           []*flaggy.Flag
	helpFlag        bool // whether help is requested
	positionalCount int  // number of arguments that are not flags
}

// check returns a usageError for the first invalid or missing argument. It
// ignores the arguments after a help flag.
func (ac *argChecker) check(args []string) error {
	for i := 0; i < len(args); i++ {
		switch {
		case args[i] == endOfFlags:
			return ac.checkEnd(args[i+1:])
		case isHelp(args[i]):
			ac.helpFlag = true
			return nil
		case strings.HasPrefix(args[i], "-"):
			used, err := ac.flag(args[i:])
			if err != nil {
				return err
			}
			i += used - 1
		default:
			ac.positionalCount++
			if ac.positionalCount > len(ac.command.positionals) {
				return usageErrorf("unexpected argument %q; see %s %s --help", args[i], program, ac.command.name)
			}
		}
	}
	return ac.checkEnd(nil)
}

// flag checks the flag at the start of args and returns how many arguments it
// consumes.
func (ac *argChecker) flag(args []string) (int, error) {
	name, value, joined := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(args[0], "-"), "-"), "=")
	fl := ac.lookup(name)
	if fl == nil || (len(args[0]) > 1 && !strings.HasPrefix(args[0], "--")) {
		flag, _, _ := strings.Cut(args[0], "=")
		return 0, usageErrorf("unknown flag %s; see %s %s --help", flag, program, ac.command.name)
	}
	if joined {
		return 1, checkValue(fl, value)
	}
	if _, isBool := fl.AssignmentVar.(*bool); isBool {
		return 1, nil
	}
	if len(args) < 2 {
		return 0, usageErrorf("flag --%s requires a value", name)
	}
	return 2, checkValue(fl, args[1])
}

func (ac *argChecker) lookup(name string) *flaggy.Flag {
	for _, fl := range ac.flags {
		if name != "" && fl.LongName == name {
			return fl
		}
	}
	return nil
}

// checkEnd checks, after the last flag, that no required argument is missing and
// that arguments after -- are allowed.
func (ac *argChecker) checkEnd(trailing []string) error {
	if len(trailing) > 0 && ac.command.trailing == nil {
		return usageErrorf("unexpected argument %q after --", trailing[0])
	}
	for i, po := range ac.command.positionals {
		if po.required && i >= ac.positionalCount {
			return usageErrorf("argument %s is missing; see %s %s --help", po.name, program, ac.command.name)
		}
	}
	return nil
}

// checkValue returns an error if flaggy can't assign the text to a flag.
func checkValue(fl *flaggy.Flag, text string) error {
	switch fl.AssignmentVar.(type) {
	case *int, *int64:
		if _, err := strconv.ParseInt(text, 10, 64); err != nil {
			return usageErrorf("flag --%s: %q is not an integer", fl.LongName, text)
		}
	case *float64:
		if _, err := strconv.ParseFloat(text, 64); err != nil {
			return usageErrorf("flag --%s: %q is not a number", fl.LongName, text)
		}
	case *time.Duration:
		if _, err := time.ParseDuration(text); err != nil {
			return usageErrorf("flag --%s: %q is not a duration with a unit, such as 30s", fl.LongName, text)
		}
	case *bool:
		if _, err := strconv.ParseBool(text); err != nil {
			return usageErrorf("flag --%s: %q is not true or false", fl.LongName, text)
		}
	}
	return nil
}
