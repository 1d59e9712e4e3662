package poller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

func TestEveryUpstreamHasItsPollers(t *testing.T) {
	for _, n := range []int{1, 2, 8, 400} {
		routers := make([]messenger.RouterID, n)
		for i := range routers {
			routers[i] = messenger.RouterID(fmt.Sprintf("r%d", i))
		}
		for u := range 50 {
			id := messenger.UpstreamID(fmt.Sprintf("u%d", u))
			got := 0
			for _, r := range routers {
				if picked(r, id, routers) {
					got++
				}
			}
			if want := min(n, PollersPerUpstream); got != want {
				t.Errorf("%d routers: upstream %s has %d pollers, want %d", n, id, got, want)
			}
		}
	}
}

func TestAskReportsLoadAndNewCacheEvents(t *testing.T) {
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RequestURI())
		if strings.HasPrefix(r.URL.Path, "/v1/load") {
			_, _ = fmt.Fprint(w, `{"running":3,"waiting":2,"measuredUnixMs":5000,"leaving":true}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"next":7,"events":[{"seq":6,"prefix":"p","cached":true}]}`)
	}))
	defer server.Close()
	var loads []messenger.LoadReport
	var caches []messenger.CacheReport
	p := New(Config{
		Self: "r1", Clock: timekeeper.NewManual(time.Unix(0, 0)),
		OnLoad: func(l messenger.LoadReport, leaving bool) {
			if !leaving {
				t.Error("leaving = false, want true")
			}
			loads = append(loads, l)
		},
		OnCache: func(c messenger.CacheReport) { caches = append(caches, c) },
	})
	p.Assign([]messenger.RouterID{"r1"}, map[messenger.UpstreamID]messenger.UpstreamPolicy{
		"w1": {Address: strings.TrimPrefix(server.URL, "http://"), Engine: true},
	})
	for range 2 {
		for _, target := range p.due() {
			p.ask(context.Background(), target)
		}
	}
	if got, want := len(loads), 2; got != want {
		t.Fatalf("%d load reports, want %d", got, want)
	}
	if got, want := loads[0], (messenger.LoadReport{Upstream: "w1", Running: 3, Waiting: 2, Measured: time.UnixMilli(5000)}); got != want {
		t.Errorf("load = %+v, want %+v", got, want)
	}
	if got, want := len(caches), 2; got != want {
		t.Errorf("%d cache reports, want %d", got, want)
	}
	if got, want := asked[3], "/v1/cacheEvents?since=7"; got != want {
		t.Errorf("second question for cache events = %s, want %s", got, want)
	}
}

func TestOpenQuestionIsNotRepeated(t *testing.T) {
	p := New(Config{Self: "r1"})
	p.Assign([]messenger.RouterID{"r1"}, map[messenger.UpstreamID]messenger.UpstreamPolicy{"w1": {Address: "127.0.0.1:1"}})
	if got, want := len(p.due()), 1; got != want {
		t.Fatalf("%d due, want %d", got, want)
	}
	if got, want := len(p.due()), 0; got != want {
		t.Errorf("%d due while a question is open, want %d", got, want)
	}
}
