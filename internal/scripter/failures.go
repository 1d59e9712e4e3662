package scripter

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/operator"
)

func (w *world) upstream(ts *testscript.TestScript, name string) upstream {
	u, ok := w.upstreams[name]
	if !ok {
		ts.Fatalf("no upstream %s runs", name)
	}
	return u
}

func cmdFault(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "fault UPSTREAM JSON")
	var f emulator.Faults
	dec := json.NewDecoder(strings.NewReader(args[1]))
	dec.DisallowUnknownFields()
	ts.Check(dec.Decode(&f))
	w.upstream(ts, args[0]).SetFaults(f)
}

func cmdFreeze(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "freeze UPSTREAM")
	w.upstream(ts, args[0]).SetFaults(emulator.Faults{Freeze: true})
}

func cmdLeave(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "leave UPSTREAM")
	w.upstream(ts, args[0]).SetFaults(emulator.Faults{Leaving: true})
}

func cmdCrash(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "crash ROUTER|UPSTREAM")
	if r, ok := w.routers[args[0]]; ok {
		delete(w.routers, args[0])
		_ = crash(r)
		return
	}
	u := w.upstream(ts, args[0])
	u.Stop()
	w.gone[args[0]] = append(w.gone[args[0]], u.Journal()...)
	delete(w.upstreams, args[0])
}

// cmdCrashes checks how many processes of workers have ended by their faults.
func cmdCrashes(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "least", "most")
	need(ts, args, 0, "crashes [least=N] [most=N]")
	n := 0
	for _, u := range w.upstreams {
		if worker, ok := u.(*emulator.Worker); ok {
			n += worker.Crashes()
		}
	}
	if n < o.number("least", 0) || n > o.number("most", n) {
		ts.Fatalf("got %d crashes of workers, want at least %d and at most %d", n, o.number("least", 0), o.number("most", n))
	}
}

func cmdShutdown(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "shutdown ROUTER")
	r, err := w.router(args[0])
	ts.Check(err)
	delete(w.routers, args[0])
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ts.Check(r.Shutdown(ctx))
}

func cmdCut(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "cut ROUTER ROUTER")
	w.setCut(args[0], args[1], true)
}

func cmdHeal(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "heal ROUTER ROUTER")
	w.setCut(args[0], args[1], false)
}

// storeFaults are the states that a scenario may put the platform in.
var storeFaults = map[string]keeper.Faults{
	"up":   {},
	"down": {Down: true},
	"slow": {Delay: 300 * time.Millisecond},
	"lost": {LoseAnswers: 1},
}

func cmdStore(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "store up|down|slow|lost")
	f, ok := storeFaults[args[0]]
	if !ok {
		ts.Fatalf("the store can't be %s", args[0])
	}
	w.platform().SetFaults(f)
}

func cmdDrain(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "via")
	need(ts, args, 1, "drain UPSTREAM via=ROUTER")
	_, err := w.router(o.text("via", ""))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	change, err := w.client(o.text("via", "")).Drain(ctx, operator.Drain{
		Precondition: operator.Precondition{Reason: "scenario"}, Upstream: args[0],
	})
	ts.Check(err)
	ts.Setenv("VERSION", fmt.Sprint(change.Version))
}
