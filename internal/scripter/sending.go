package scripter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
)

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
