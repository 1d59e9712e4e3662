package scripter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilwood.example/lentilwood/internal/generator"
)

// command is one command of the language.
type command func(w *world, ts *testscript.TestScript, args []string)

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){"operate": cmdOperate}
	for name, cmd := range map[string]command{
		"platform": cmdPlatform, "worker": cmdWorker, "service": cmdService, "fleet": cmdFleet,
		"config": cmdConfig, "router": cmdRouter, "send": cmdSend, "await": cmdAwait,
		"expect": cmdExpect, "runs": cmdRuns, "fault": cmdFault, "freeze": cmdFreeze,
		"crash": cmdCrash, "shutdown": cmdShutdown, "cut": cmdCut, "heal": cmdHeal,
		"store": cmdStore, "drain": cmdDrain, "load": cmdLoad, "leave": cmdLeave, "crashes": cmdCrashes,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			w, ok := ts.Value(worldKey{}).(*world)
			if !ok {
				ts.Fatalf("no world")
			}
			cmd(w, ts, args)
		}
	}
	return out
}

func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) != n {
		ts.Fatalf("usage: %s", usage)
	}
}

func cmdPlatform(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 0, "platform")
	w.platform()
}

func cmdWorker(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "slots", "step", "grace", "loadLag", "cache", "fence")
	need(ts, args, 1, "worker NAME [OPTION=VALUE]...")
	ts.Check(w.addUpstream(args[0], w.newStandIn(args[0], true, defaultSlots, o)))
}

func cmdService(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "slots", "time")
	need(ts, args, 1, "service NAME [OPTION=VALUE]...")
	ts.Check(w.addUpstream(args[0], w.newStandIn(args[0], false, defaultSlots, o)))
}

func cmdFleet(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "slots", "step", "time", "grace", "loadLag", "cache", "fence")
	need(ts, args, 1, "fleet FILE [OPTION=VALUE]...")
	text := []byte(ts.ReadFile(args[0]))
	ts.Check(w.startStandIns(args[0], text, o))
	ts.Check(w.configure(args[0], text))
}

func cmdConfig(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "config FILE")
	ts.Check(w.configure(args[0], []byte(ts.ReadFile(args[0]))))
}

func cmdRouter(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "domain", "lag", "drain", "ready", "seeds")
	need(ts, args, 1, "router NAME [OPTION=VALUE]...")
	ts.Check(w.startRouter(args[0], o))
}

func cmdExpect(w *world, ts *testscript.TestScript, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: expect NAME PROPERTY=VALUE...")
	}
	check := func(string, string) string { return "nothing has this name" }
	if a, ok := w.answers[args[0]]; ok {
		<-a.done
		check = a.check
	}
	if l, ok := w.loads[args[0]]; ok {
		<-l.done
		ts.Check(l.err)
		check = l.check
	}
	var wrong []string
	for _, arg := range args[1:] {
		name, want, _ := strings.Cut(arg, "=")
		if text := check(name, want); text != "" {
			wrong = append(wrong, text)
		}
	}
	if len(wrong) > 0 {
		ts.Fatalf("%s: %s", args[0], strings.Join(wrong, "; "))
	}
}

// cmdRuns says how often something ran according to the upstreams' journals.
func cmdRuns(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "of", "key", "on", "path", "repeated")
	need(ts, args, 1, "runs N [of=ANSWER] [key=KEY] [on=UPSTREAM] [path=PATH] [repeated=yes]")
	id := ""
	if name := o.text("of", ""); name != "" {
		a, ok := w.answers[name]
		if !ok {
			ts.Fatalf("%s is not an answer", name)
		}
		if id = a.wireID(); id == "" {
			ts.Fatalf("the answer %s names no request", name)
		}
	}
	n := 0
	byKey := map[string]int{}
	for _, e := range w.entries(o.text("on", "")) {
		matches := (id == "" || e.RequestID == id) &&
			e.Key == o.text("key", e.Key) && e.Path == o.text("path", e.Path)
		if matches && !e.Imported {
			n++
			byKey[e.Key]++
		}
	}
	if o.text("repeated", "no") == "yes" {
		n = countRepeated(byKey)
	}
	if fmt.Sprint(n) != args[0] {
		ts.Fatalf("got %d runs, want %s", n, args[0])
	}
}

// countRepeated returns how many idempotency keys ran more than once.
func countRepeated(byKey map[string]int) int {
	n := 0
	for key, runs := range byKey {
		if key != "" && runs > 1 {
			n++
		}
	}
	return n
}

// cmdLoad sends a mix through every router that runs.
func cmdLoad(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "as", "for", "seed", "through")
	need(ts, args, 1, "load FILE [for=TIME] [seed=N] [through=ROUTER,ROUTER] [as=NAME] [&]")
	mix, findings := generator.LoadMix(ts.MkAbs(args[0]))
	ts.Check(findings.Err())
	name := o.text("as", "load")
	cfg := generator.Config{
		Mix: mix, For: o.duration("for", time.Second), Seed: uint64(o.number("seed", 1)), Run: name,
		Timeout: patience, Expect: generator.StandIns{}, Clock: w.clock,
	}
	through := o.list("through")
	for n, r := range w.routers {
		if len(through) == 0 || slices.Contains(through, n) {
			cfg.Routers = append(cfg.Routers, r.CallersAddr())
		}
	}
	l := startLoad(cfg)
	w.loads[name] = l
	if !o.background {
		<-l.done
	}
}
