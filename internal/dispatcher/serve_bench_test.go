package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/recorder"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// reportPercentiles reports the median and the 99th percentile of took.
func reportPercentiles(b *testing.B, took []time.Duration) {
	b.Helper()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Nanoseconds())/1e3, "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds())/1e3, "p99-µs")
}

// BenchmarkServeLookup measures a small idempotent request, sent directly to the upstream
// over one connection and through Serve. The difference is the dispatcher's overhead.
func BenchmarkServeLookup(b *testing.B) {
	addr := lookupServer(b)
	b.Run("straight", func(b *testing.B) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		var took []time.Duration
		for b.Loop() {
			start := time.Now()
			_, _ = io.WriteString(conn, "GET /stock/7 HTTP/1.1\r\nHost: x\r\nX-Request-Id: "+wireID+"\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			took = append(took, time.Since(start))
		}
		reportPercentiles(b, took)
	})
	b.Run("served", func(b *testing.B) {
		d := New(Config{Upstreams: fixedUpstreams{"s": {Address: addr}}, Log: quietLog()})
		defer d.Close()
		var took []time.Duration
		b.ReportAllocs()
		for b.Loop() {
			req := &Request{ID: 1, WireID: wireID, Method: http.MethodGet, URI: "/stock/7", Arrive: messenger.Arrive{Idempotent: true}}
			q, c := newFakeQueue("s"), newFakeCaller()
			start := time.Now()
			if res := d.Serve(context.Background(), req, q, c); res.Status != http.StatusOK {
				b.Fatalf("status %d: %s", res.Status, c.text())
			}
			took = append(took, time.Since(start))
		}
		reportPercentiles(b, took)
	})
}

// BenchmarkServeIdleStream measures the memory per stream in Serve that waits for its
// next event, excluding the caller's connection.
func BenchmarkServeIdleStream(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		addr := idleServer(b)
		d := New(Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}, Log: quietLog()})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		before := memoryInUse()
		for range streams {
			req := completion()
			req.WireID = "w"
			req.Class.ProgressTimeout = time.Hour
			c := newFakeCaller()
			go func() {
				d.Serve(ctx, req, newFakeQueue("a"), c)
				done <- struct{}{}
			}()
			<-c.wrote
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		cancel()
		for range streams {
			<-done
		}
	}
}

// BenchmarkServeReservation measures a request that is not idempotent, without an
// idempotency key and with one that is claimed in a store that responds at once.
func BenchmarkServeReservation(b *testing.B) {
	addr := lookupServer(b)
	for _, name := range []string{"plain", "keyed"} {
		b.Run(name, func(b *testing.B) {
			rec := recorder.New(recorder.Config{Store: keeper.New(timekeeper.System{}), ClaimsPerSecond: 1e9})
			d := New(Config{Upstreams: fixedUpstreams{"s": {Address: addr}}, Log: quietLog(), Recorder: rec})
			defer d.Close()
			var took []time.Duration
			n := 0
			for b.Loop() {
				req := reservation()
				if name == "keyed" {
					n++
					req.Key = strconv.Itoa(n)
				}
				q, c := newFakeQueue("s"), newFakeCaller()
				start := time.Now()
				if res := d.Serve(context.Background(), req, q, c); res.Status != http.StatusOK {
					b.Fatalf("status %d: %s", res.Status, c.text())
				}
				took = append(took, time.Since(start))
			}
			reportPercentiles(b, took)
		})
	}
}
