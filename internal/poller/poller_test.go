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

func TestEachUpstreamHasItsPollers(t *testing.T) {
	for _, n := range []int{1, 2, 8, 400} {
		routers := make([]messenger.RouterID, n)
		for i := range routers {
			routers[i] = messenger.RouterID(fmt.Sprintf("r%d", i))
		}
		for u := range 50 {
			id := messenger.UpstreamID(fmt.Sprintf("u%d", u))
			got := 0
			for _, r := range routers {
				if isAssigned(r, id, routers) {
					got++
				}
			}
			if want := min(n, PollersPerUpstream); got != want {
				t.Errorf("%d routers: upstream %s has %d pollers, want %d", n, id, got, want)
			}
		}
	}
}

func TestPollReportsLoadAndNewCacheEvents(t *testing.T) {
	var requestURIs []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURIs = append(requestURIs, r.URL.RequestURI())
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
		for _, target := range p.claimIdleTargets() {
			p.poll(context.Background(), target)
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
	if got, want := requestURIs[3], "/v1/cacheEvents?since=7"; got != want {
		t.Errorf("second request for cache events = %s, want %s", got, want)
	}
}

// TestResponseWithLongHeadIsNotKept guards against upstreams whose heads take the router's memory.
func TestResponseWithLongHeadIsNotKept(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("a", 1<<20))
		_, _ = fmt.Fprint(w, "{}")
	}))
	defer server.Close()
	var load loadResponse
	err := New(Config{Self: "r1"}).get(context.Background(), strings.TrimPrefix(server.URL, "http://"), "/v1/load", &load)
	if err == nil {
		t.Error("got a response whose head has 1 MiB, want an error")
	}
}

func TestTargetIsNotPolledTwiceAtOnce(t *testing.T) {
	p := New(Config{Self: "r1"})
	p.Assign([]messenger.RouterID{"r1"}, map[messenger.UpstreamID]messenger.UpstreamPolicy{"w1": {Address: "127.0.0.1:1"}})
	if got, want := len(p.claimIdleTargets()), 1; got != want {
		t.Fatalf("claimed %d targets, want %d", got, want)
	}
	if got, want := len(p.claimIdleTargets()), 0; got != want {
		t.Errorf("claimed %d targets while a poll is in progress, want %d", got, want)
	}
}
