// Command cases3 plays the scripted cases of the third review. Each case starts hosts of
// a domain as processes with the command of the deploy file, in front of stand-ins of the
// platform's store, of its workers and of its machines, all on loopback addresses. It
// writes what was sent, answered and run to a record, and exits with 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, with or without its trouble. Its error means that it could not run.
type scenario func(rg *rig, trouble bool) error

func main() { os.Exit(run()) }

func run() int {
	number := flag.Int("case", 0, "number of the case, or of a play without one")
	record := flag.String("record", "", "file for the record")
	program := flag.String("program", "target/cicadawharf", "program under test")
	logs := flag.String("logs", "", "folder that keeps the logs of the hosts; empty for none")
	flag.Parse()
	play, ok := scenarios[*number]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %d\n", *number)
		return exitNotRun
	}
	rg, err := newRig(*record, *program, *logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rg.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		rg.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rg.note("case %d, trouble: %v", *number, trouble)
	if err := play(rg, trouble); err != nil {
		rg.note("the case could not run: %v", err)
		return exitNotRun
	}
	if broken := rg.broken(); len(broken) > 0 {
		rg.note("the rule was broken %d times", len(broken))
		return exitBroken
	}
	rg.note("the rule held")
	return exitHeld
}
