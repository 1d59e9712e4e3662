// Package scripter runs scenarios: short scripts that start a fleet in one
// process, send requests, bring failures about and say what must have come of
// it. The platform, the upstreams and the callers are stand-ins; the routers
// are the real ones, on loopback.
//
// The language is that of testscript with the commands listed in
// docs/operators/scenarios.md. A scenario says counts and contents, never how
// long something took.
//
// # Usage
//
//	err := scripter.Run(os.Stdout, scripter.Options{Files: []string{"testdata/scenarios/streams.txt"}})
package scripter

import (
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

// ErrFailed means that a scenario did not hold.
var ErrFailed = merry.Sentinel("scenario failed")

// Options say which scenarios to run.
type Options struct {
	Files []string
	// Verbose also prints the log of scenarios that hold.
	Verbose bool
}

// Run runs scenarios one after the other, writes what came of each to w and
// returns ErrFailed if one did not hold.
func Run(w io.Writer, o Options) error {
	failed := 0
	for _, file := range o.Files {
		t := &runner{verbose: o.Verbose}
		t.run(func() { testscript.RunT(t, Params(file)) })
		verdict := "ok"
		if t.failed {
			verdict = "FAILED"
			failed++
		}
		fmt.Fprintf(w, "%s %s\n", verdict, strings.TrimSuffix(filepath.Base(file), ".txt"))
		if t.failed || o.Verbose {
			fmt.Fprintln(w, strings.TrimSpace(t.log.String()))
		}
	}
	if failed > 0 {
		return merry.Prependf(ErrFailed, "%d of %d", failed, len(o.Files))
	}
	return nil
}

// worldKey is where a script keeps its world.
type worldKey struct{}

// Params returns what testscript needs to run scenarios.
func Params(files ...string) testscript.Params {
	return testscript.Params{
		Files:               files,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			w := newWorld()
			env.Values[worldKey{}] = w
			env.Defer(w.stop)
			if len(files) > 0 {
				env.Setenv("SCENARIOS", filepath.Dir(absolute(files[0])))
			}
			return nil
		},
		Cmds: commands(),
	}
}

func absolute(file string) string {
	path, err := filepath.Abs(file)
	if err != nil {
		return file
	}
	return path
}

// runner is the little that testscript needs of a test.
type runner struct {
	log     strings.Builder
	verbose bool
	failed  bool
}

// Skip ends a scenario that does not apply.
func (t *runner) Skip(args ...any) {
	t.Log(args...)
	runtime.Goexit()
}

// Fatal ends a scenario that does not hold.
func (t *runner) Fatal(args ...any) {
	t.Log(args...)
	t.FailNow()
}

// Parallel does nothing: scenarios run one after the other.
func (t *runner) Parallel() {}

// Log notes a line.
func (t *runner) Log(args ...any) { fmt.Fprintln(&t.log, args...) }

// FailNow ends a scenario that does not hold.
func (t *runner) FailNow() {
	t.failed = true
	runtime.Goexit()
}

// Run runs one script.
func (t *runner) Run(_ string, f func(testscript.T)) {
	t.run(func() { f(t) })
}

// Verbose says whether to print more.
func (t *runner) Verbose() bool { return t.verbose }

// run runs f on a goroutine of its own, which FailNow and Skip end.
func (t *runner) run(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	<-done
}
