package wksim

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// plan describes what a task does once it is started.
type plan struct {
	runTime    time.Duration // at full speed; unlimited if negative
	failure    string        // error that it ends with; empty for success
	checkpoint time.Duration // that a checkpoint takes
}

const (
	endless           = time.Duration(-1)
	defaultCheckpoint = 200 * time.Millisecond
	checkpointOption  = "checkpoint="
	// defaultRunTime is the run time of a command that isn't built in.
	defaultRunTime = 2 * time.Second
)

// parsePlan parses a task's command: sleep DURATION, fail DURATION, forever or
// exit STATUS, optionally followed by checkpoint=DURATION. Any other command
// stands for a user's program, which the simulator can't run, and succeeds
// after defaultRunTime.
func parsePlan(command []string, scale float64) plan {
	pl := plan{checkpoint: defaultCheckpoint}
	var args []string
	for _, wd := range command {
		text, found := strings.CutPrefix(wd, checkpointOption)
		if !found {
			args = append(args, wd)
			continue
		}
		dur, err := time.ParseDuration(text)
		if err != nil || dur < 0 {
			return plan{failure: fmt.Sprintf("option %q is not a duration", wd)}
		}
		pl.checkpoint = dur
	}
	if err := pl.parse(args, scale); err != nil {
		return plan{failure: err.Error()}
	}
	return pl
}

func (pl *plan) parse(args []string, scale float64) error {
	if len(args) == 0 {
		return errors.New("the command is empty")
	}
	name, arg := args[0], strings.Join(args[1:], " ")
	switch name {
	case "forever":
		pl.runTime = endless
		if arg != "" {
			return fmt.Errorf("command %q has too many arguments", args)
		}
		return nil
	case "exit":
		return pl.parseExit(arg)
	case "sleep":
		return pl.parseSleep(arg, scale)
	case "fail":
		pl.failure = "failed as commanded"
		return pl.parseSleep(arg, scale)
	default:
		pl.runTime = scaled(defaultRunTime, scale)
		return nil
	}
}

func (pl *plan) parseExit(arg string) error {
	status, err := strconv.Atoi(arg)
	if err != nil {
		return fmt.Errorf("exit status %q is not a number", arg)
	}
	if status != 0 {
		pl.failure = fmt.Sprintf("exit status %d", status)
	}
	return nil
}

func (pl *plan) parseSleep(arg string, scale float64) error {
	dur, err := time.ParseDuration(arg)
	if err != nil || dur < 0 {
		return fmt.Errorf("run time %q is not a duration", arg)
	}
	pl.runTime = scaled(dur, scale)
	return nil
}

// scaled multiplies a duration by a factor, saturating at the largest duration.
func scaled(dur time.Duration, factor float64) time.Duration {
	product := float64(dur) * factor
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(product)
}
