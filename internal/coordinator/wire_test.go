package coordinator

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/drainer"
	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestMessageRoundTrip sends a full configuration with 14,000 client accounts, as
// received by a router that restarts while the store is down, and the revisions
// that follow it, over a real connection.
func TestMessageRoundTrip(t *testing.T) {
	clock := timekeeper.NewManual(start)
	e := &configurer.Editor{Store: keeper.New(clock), Clock: clock}
	n := configurer.Note{Author: "ilze", Reason: "test"}
	first, err := e.Set(t.Context(), upstreams(4), n)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 70 { // more revisions than a router keeps, so that it sends the full configuration
		w := float64(i + 1)
		x := configurer.Exception{Reason: "test", Author: "ilze", Account: &configurer.AccountSettings{Weight: &w}}
		if _, err := e.PutException(t.Context(), 0, "x", x); err != nil {
			t.Fatal(err)
		}
	}
	addAccounts(t, e, 14000)
	s := stateAt(t, e, first, 72)
	whole, revisions := s.UpdateSince(0), s.UpdateSince(50)
	if len(whole.AllEntries) < 14000 || len(revisions.Revisions) != 22 {
		t.Fatalf("got %d entries and %d revisions, want at least 14000 and 22", len(whole.AllEntries), len(revisions.Revisions))
	}
	for name, u := range map[string]configurer.Update{"whole": whole, "revisions": revisions} {
		sent := Message{
			Heartbeat: registrar.Heartbeat{From: registrar.Member{Router: "r1", Incarnation: 7}, ReplyRequested: true, SentUnixMs: 12345},
			Version:   72, Confirmed: true, Update: &u,
			DrainUpdates: []drainer.Update{{Upstream: "w1", Version: 3, Leaving: true}}, DrainChecksum: 1 << 63,
		}
		got := sendAndReceive(t, sent)
		if got.Heartbeat.From.Router != "r1" || got.Heartbeat.SentUnixMs != 12345 || got.DrainChecksum != 1<<63 || len(got.DrainUpdates) != 1 || got.DrainUpdates[0] != sent.DrainUpdates[0] {
			t.Errorf("%s: got %+v, want the heartbeat and drains that were sent", name, got.Heartbeat)
		}
		var base *configurer.State
		if name == "revisions" {
			base = stateAt(t, e, first, 50)
		}
		next, err := base.Apply(*got.Update)
		if err != nil || next.Version() != 72 || len(next.Document().Accounts) != 14000 {
			t.Errorf("%s: got version %d, error %v, want version 72 with 14000 accounts", name, next.Version(), err)
		}
	}
}

// addAccounts adds n client accounts to the latest configuration document.
func addAccounts(t *testing.T, e *configurer.Editor, n int) {
	t.Helper()
	d, err := e.Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		d.Accounts[messenger.AccountID(fmt.Sprintf("account-%05d", i))] = configurer.AccountSettings{
			Tokens: []string{configurer.Digest(fmt.Sprint(i))},
		}
	}
	if _, err := e.Set(t.Context(), d, configurer.Note{Author: "ilze", Reason: "test"}); err != nil {
		t.Fatal(err)
	}
}

// stateAt returns the configuration state at a version.
func stateAt(t *testing.T, e *configurer.Editor, first configurer.Update, version uint64) *configurer.State {
	t.Helper()
	s, err := (*configurer.State)(nil).Apply(first)
	if err != nil {
		t.Fatal(err)
	}
	history, err := e.History(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s, err = s.Apply(configurer.Update{Version: version, Revisions: history[:version-1]})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// sendAndReceive sends a message over a TCP connection between two exchangers and
// returns the received message.
func sendAndReceive(t *testing.T, m Message) Message {
	t.Helper()
	received := make(chan Message, 1)
	key := []byte("a key that is shared by the routers")
	to := exchanger.New(exchanger.Config[Message]{Name: "r2", Address: "127.0.0.1:0", Key: key,
		Handler: func(_ string, m Message) { received <- m }})
	from := exchanger.New(exchanger.Config[Message]{Name: "r1", Address: "127.0.0.1:0", Key: key, Handler: func(string, Message) {}})
	for _, x := range []*exchanger.Exchanger[Message]{to, from} {
		if err := x.Start(); err != nil {
			t.Fatal(err)
		}
		defer x.Stop()
	}
	if err := from.Send(to.Addr(), m); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-received:
		return got
	case <-time.After(20 * time.Second):
		t.Fatal("message not received within 20 s")
		return Message{}
	}
}
