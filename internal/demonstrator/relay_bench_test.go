package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/router"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	benchWindow   = 5000
	benchRequests = 2000
	benchParallel = 16
	benchAccount  = messenger.AccountID("bench")
)

// relay is one worker, and one router before it.
type relay struct {
	worker *emulator.Worker
	router *router.Router
}

func startRelay(b *testing.B) *relay {
	b.Helper()
	clock := timekeeper.System{}
	log := quietLog(nil)
	w := emulator.NewWorker(emulator.WorkerConfig{Name: "w", Slots: benchWindow, Instant: true, Log: log}, clock)
	if err := w.Start(loopback); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(w.Stop)
	store := keeper.New(clock)
	doc := &configurer.Document{
		Accounts: map[messenger.AccountID]configurer.AccountSettings{benchAccount: {Tokens: []string{configurer.Digest(tokenOf(benchAccount))}}},
		Classes:  map[messenger.ClassID]configurer.ClassSettings{question: {ExpectedTokens: ptr(1.0), ProgressTimeout: seconds(3600), QueueTimeout: seconds(60)}},
		Pools:    map[messenger.PoolID]configurer.PoolSettings{assistantPool: {}},
		Upstreams: map[messenger.UpstreamID]configurer.UpstreamSettings{
			"w": {Pool: assistantPool, Address: w.Addr(), Domain: domainOf(0), Window: ptr(benchWindow), Engine: ptr(true)},
		},
		Routes: []configurer.Route{{Path: "/v1/completions", Pool: assistantPool, Class: question, Idempotent: true, Engine: true}},
	}
	editor := configurer.Editor{Store: store, Clock: clock}
	if _, err := editor.Set(context.Background(), doc, configurer.Note{Author: author, Reason: "benchmark"}); err != nil {
		b.Fatal(err)
	}
	f := &fleet{clock: clock, log: log, store: store}
	r := router.New(router.Config{Settings: routerSettings(0), Store: store, Clock: clock, Log: log})
	if err := r.Start(); err != nil {
		b.Fatal(err)
	}
	f.routers = []*router.Router{r}
	b.Cleanup(f.stop)
	for !f.ready() {
		time.Sleep(pollInterval)
	}
	return &relay{worker: w, router: r}
}

func post(b *testing.B, client *http.Client, address, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+tokenOf(benchAccount))
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("%s: status %d, %v", address, resp.StatusCode, err)
	}
}

// cost is what requests took.
type cost struct {
	latency               *hdrhistogram.Histogram
	allocs, bytes, perSec float64
}

// measure sends benchRequests requests with a number of them at a time.
func measure(b *testing.B, address, body string, parallel int) cost {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
	defer client.CloseIdleConnections()
	for range parallel {
		post(b, client, address, body)
	}
	c := cost{latency: generator.NewHistogram()}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for range benchRequests / parallel {
				sent := time.Now()
				post(b, client, address, body)
				d := time.Since(sent)
				mu.Lock()
				generator.Record(c.latency, d)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.perSec = benchRequests / time.Since(start).Seconds()
	runtime.ReadMemStats(&after)
	c.allocs = float64(after.Mallocs-before.Mallocs) / benchRequests
	c.bytes = float64(after.TotalAlloc-before.TotalAlloc) / benchRequests
	return c
}

// BenchmarkRelay compares requests that go to the stand-in directly with
// requests through a router, in one run. What a router adds is the difference
// of the two.
func BenchmarkRelay(b *testing.B) {
	r := startRelay(b)
	for _, kind := range []struct{ name, body string }{
		{"whole", `{"prompt":"x","maxTokens":1}`},
		{"stream16", `{"prompt":"x","maxTokens":16,"stream":true}`},
	} {
		for _, parallel := range []int{1, benchParallel} {
			b.Run(fmt.Sprintf("%s/parallel%d", kind.name, parallel), func(b *testing.B) {
				var direct, through cost
				for b.Loop() {
					direct = measure(b, r.worker.Addr(), kind.body, parallel)
					through = measure(b, r.router.CallersAddr(), kind.body, parallel)
				}
				added := func(q float64) float64 {
					return float64(through.latency.ValueAtQuantile(q) - direct.latency.ValueAtQuantile(q))
				}
				b.ReportMetric(float64(direct.latency.ValueAtQuantile(50)), "direct-p50-µs")
				b.ReportMetric(added(50), "added-p50-µs")
				b.ReportMetric(added(99), "added-p99-µs")
				b.ReportMetric(direct.perSec, "direct-requests/s")
				b.ReportMetric(through.perSec, "router-requests/s")
				b.ReportMetric(through.allocs-direct.allocs, "added-allocs/request")
				b.ReportMetric(through.bytes-direct.bytes, "added-B/request")
			})
		}
	}
}

// openStream sends a request and waits for the first event.
func openStream(b *testing.B, address string) net.Conn {
	const body = `{"prompt":"x","maxTokens":4,"stream":true}`
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		tokenOf(benchAccount), len(body), body)
	if err != nil {
		b.Fatal(err)
	}
	var seen []byte
	buf := make([]byte, 512)
	for !bytes.Contains(seen, []byte("id: 1")) {
		n, err := conn.Read(buf)
		if err != nil {
			b.Fatalf("%s: %v after %q", address, err, seen)
		}
		seen = append(seen, buf[:n]...)
	}
	return conn
}

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// streamBytes returns the memory of each of n open streams to an address.
func streamBytes(b *testing.B, address string, n int) float64 {
	before := memory()
	conns := make([]net.Conn, 0, n)
	for range n {
		conns = append(conns, openStream(b, address))
	}
	used := memory() - before
	for _, conn := range conns {
		_ = conn.Close()
	}
	return used / float64(n)
}

// BenchmarkRelayIdleStreams measures the memory of streams that are open and
// silent. Both ends of every connection are in this process, which bounds
// their number by the limit of open files.
func BenchmarkRelayIdleStreams(b *testing.B) {
	for _, n := range []int{1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := startRelay(b)
			r.worker.SetFaults(emulator.Faults{SilentAfterEvents: 1})
			var direct, through float64
			for b.Loop() {
				direct = streamBytes(b, r.worker.Addr(), n)
				time.Sleep(time.Second) // let the connections go
				through = streamBytes(b, r.router.CallersAddr(), n)
				time.Sleep(time.Second)
			}
			b.ReportMetric(direct, "direct-B/stream")
			b.ReportMetric(through-direct, "added-B/stream")
		})
	}
}
