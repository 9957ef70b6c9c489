// Command rig plays the cases of the review that can't be written as a day of
// the bench. It starts hosts of a scheduling domain as processes, in front of
// small stand-ins of the platform's store, of its workers and of its machines,
// and checks one rule by what these stand-ins and the callers have seen.
//
//	rig CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was
// broken and 2 if the case couldn't run. With TROUBLE=0 in the environment it
// leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errUsage means that the command line is wrong.
var errUsage = errors.New("usage: rig CASE FOLDER")

// cases are the cases by name. A case returns an error if it couldn't run, and
// reports a broken rule to the ledger.
var cases = map[string]func(pl *plant) error{}

func main() { os.Exit(play(os.Args[1:])) }

// play runs one case and returns the exit code.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	pl, err := newPlant(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.write("the case couldn't run: %v", err)
		return exitFailed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		pl.close()
		os.Exit(exitFailed)
	}()
	err = cases[args[0]](pl)
	pl.close()
	return verdict(rec, pl.ledger, err)
}

// verdict writes the result of a case and returns its exit code.
func verdict(rec *record, le *ledger, err error) int {
	broken := le.violations()
	switch {
	case err != nil:
		rec.write("the case couldn't run: %v", err)
		return exitFailed
	case len(broken) > 0:
		rec.write("BROKEN %d times; the first: %s", len(broken), broken[0])
		return exitBroken
	default:
		rec.write("HELD")
		return exitHeld
	}
}
