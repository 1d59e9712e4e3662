// Command review-standin plays the cases of the review: it starts routers as the deploy file
// says, stands in for their clients, workers and store, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"endless":   playEndless,
	"truncated": playTruncated,
	"repeats":   playRepeats,
	"poison":    playPoison,
	"preempted": playPreempted,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE REPOSITORY FOLDER")
		return exitNotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer f.stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		f.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record.say("not run: %v", err)
		return exitNotRun
	case broken:
		f.record.say("the rule was broken")
		return exitBroken
	}
	f.record.say("the rule held")
	return exitHeld
}
