// Command standin plays the cases of the review: it starts routers with the command of the deploy
// file, is their platform, workers and clients, and checks one rule.
//
// # Usage
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes longer than it may.
const caseLimit = 115 * time.Second

var cases = map[string]func(*recorder) (broken bool, err error){
	"parts":   playParts,
	"release": playRelease,
	"leave":   playLeave,
	"target":  playTarget,
	"idle":    playIdle,
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// trouble reports whether the disruption is to come.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &recorder{file: file, began: time.Now()}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- r.play(cases[os.Args[1]]) }()
	code := exitNotRun
	select {
	case code = <-done:
	case <-stop:
		r.note("stopped from outside")
	case <-time.After(caseLimit):
		r.note("the case took too long")
	}
	endFleets()
	return code
}

func (r *recorder) play(f func(*recorder) (bool, error)) int {
	broken, err := f(r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		r.note("BROKEN")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.note("held")
	fmt.Println("the rule held")
	return exitHeld
}

var (
	fleetsMu sync.Mutex
	fleets   []*fleet
)

// keepFleet makes endFleets end a fleet.
func keepFleet(f *fleet) {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	fleets = append(fleets, f)
}

// endFleets ends all processes that were started.
func endFleets() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.end()
	}
}
