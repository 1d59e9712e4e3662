package scripter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
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
		"store": cmdStore, "drain": cmdDrain, "load": cmdLoad, "leave": cmdLeave,
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

// cmdSend sends a request: send ROUTER METHOD PATH [OPTION=VALUE]... [&].
func cmdSend(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "as", "account", "class", "key", "id", "tokens", "prompt", "body", "prefix", "deadline", "hint", "until")
	need(ts, args, 3, "send ROUTER METHOD PATH [OPTION=VALUE]... [&]")
	r, err := w.router(args[0])
	ts.Check(err)
	body := o.text("body", "")
	if n := o.number("tokens", 0); n > 0 {
		body = fmt.Sprintf(`{"model":"m","prompt":%q,"maxTokens":%d,"stream":true}`, o.text("prompt", "hello"), n)
	}
	req := request{method: args[1], url: "http://" + r.CallersAddr() + args[2], header: headerOf(o), body: body}
	name := o.text("as", "last")
	w.answers[name] = startRequest(req)
	w.answers[name].account = o.text("account", "")
	if o.background {
		return
	}
	<-w.answers[name].done
	until := o.text("until", "")
	if until == "" {
		return
	}
	ts.Check(w.until(name+" has status "+until, func() bool {
		if w.answers[name].check("status", until) == "" {
			return true
		}
		w.answers[name] = startRequest(req)
		<-w.answers[name].done
		return false
	}))
}

// headerOf returns the headers that the options of a request ask for.
func headerOf(o options) http.Header {
	h := http.Header{}
	for option, name := range map[string]string{
		"class": messenger.ClassHeader, "key": messenger.IdempotencyKeyHeader, "id": messenger.RequestIDHeader,
		"prefix": messenger.PrefixHeader, "deadline": messenger.DeadlineHeader, "hint": messenger.CostHintHeader,
	} {
		if value := o.text(option, ""); value != "" {
			h.Set(name, value)
		}
	}
	if account := o.text("account", ""); account != "" {
		h.Set("Authorization", "Bearer "+tokenOf(account))
	}
	return h
}

// cmdAwait waits for an answer, for some of its events, for a router to be
// ready or not, or for a version to be in force.
func cmdAwait(w *world, ts *testscript.TestScript, args []string) {
	args, o := parse(ts, args, "events", "ready", "version", "leaving", "store")
	need(ts, args, 1, "await NAME [events=N | ready=yes | ready=no | version=N | leaving=UPSTREAM | store=up | store=down]")
	name := args[0]
	if r, ok := w.routers[name]; ok {
		ts.Check(w.until("router "+name, func() bool {
			ready, _ := r.Ready()
			return yesOrNo(ready) == o.text("ready", yesOrNo(ready)) && w.agrees(name, o)
		}))
		return
	}
	if l, ok := w.loads[name]; ok {
		<-l.done
		return
	}
	a, ok := w.answers[name]
	if !ok {
		ts.Fatalf("%s is neither a router, a load nor an answer", name)
	}
	n := o.number("events", 0)
	if n == 0 {
		<-a.done
		return
	}
	err := w.until(fmt.Sprintf("%d events of %s", n, name), func() bool { return a.eventCount() >= n })
	if err != nil {
		w.explain(ts, a.account)
	}
	ts.Check(err)
}

// explain logs what every router says of why a client account waits.
func (w *world) explain(ts *testscript.TestScript, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for name := range w.routers {
		status, err := w.client(name).Account(ctx, account)
		text, _ := json.Marshal(status)
		ts.Logf("%s on %s: %s (error %v)", name, account, text, err)
	}
}

// agrees says whether a router's status is what a command waits for.
func (w *world) agrees(name string, o options) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := w.client(name).Status(ctx)
	if err != nil || int(status.Version) < o.number("version", 0) {
		return false
	}
	store := map[bool]string{true: "up", false: "down"}[status.StoreReachable]
	if store != o.text("store", store) {
		return false
	}
	leaving := o.text("leaving", "")
	return leaving == "" || slices.ContainsFunc(status.Upstreams, func(u operator.UpstreamStatus) bool {
		return u.Upstream == leaving && u.Leaving
	})
}

func (w *world) client(name string) *operator.Client {
	return operator.NewClient(operator.ClientConfig{
		Token: tokenOf(author), Timeout: patience, Routers: []string{w.routers[name].OperatorsAddr()},
	})
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
