package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sort"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// transports returns the transport in use and the alternatives it was compared with.
func transports(tb testing.TB) map[string]transport {
	tb.Helper()
	nb, err := newNbioTransport()
	if err != nil {
		tb.Fatalf("nbio engine: %v", err)
	}
	all := map[string]transport{
		"connection": newConnTransport(timekeeper.System{}, Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute}),
		"nbio":       nb,
		"nethttp":    newHTTPTransport(time.Minute),
	}
	tb.Cleanup(func() {
		for _, t := range all {
			if t != nil {
				t.Close()
			}
		}
	})
	return all
}

// fetch runs one exchange to its end.
func fetch(tb testing.TB, t transport, out *upstreamRequest) (status int, body []byte, err error) {
	tb.Helper()
	u := fetchUpdate(t, out)
	return u.status, u.body, u.err
}

// fetchUpdate runs one exchange to its end and returns its state, with the whole body.
func fetchUpdate(t transport, out *upstreamRequest) exchangeUpdate {
	ready := make(chan struct{}, 1)
	x := &exchange{updated: ready, maxBuffered: readAheadBytes}
	t.Start(x, out)
	var body []byte
	for {
		u := x.poll(true)
		body = append(body, u.body...)
		if u.done {
			u.body = body
			return u
		}
		<-ready
	}
}

// lookupServer starts an upstream that responds to every request with two bytes.
func lookupServer(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: w-1\r\n\r\nok")
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkTransportLookup measures one small exchange, over a reused and over a new
// connection.
func BenchmarkTransportLookup(b *testing.B) {
	for name, t := range transports(b) {
		for _, fresh := range []bool{false, true} {
			kind := "reused"
			if fresh {
				kind = "fresh"
			}
			b.Run(name+"/"+kind, func(b *testing.B) {
				addr := lookupServer(b)
				b.ReportAllocs()
				took := make([]time.Duration, 0, b.N)
				for b.Loop() {
					start := time.Now()
					out := &upstreamRequest{address: addr, method: http.MethodGet, uri: "/stock/7", header: make(http.Header), newConn: fresh}
					if _, _, err := fetch(b, t, out); err != nil {
						b.Fatal(err)
					}
					took = append(took, time.Since(start))
				}
				sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
			})
		}
	}
}

// idleServer starts an upstream that begins a stream on each connection and then stays
// silent. It uses no goroutine or buffer per connection.
func idleServer(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	var conns []net.Conn
	done := make(chan struct{})
	tb.Cleanup(func() {
		_ = l.Close()
		<-done
		for _, c := range conns {
			_ = c.Close()
		}
	})
	go func() {
		defer close(done)
		buf := make([]byte, 4096)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			_, _ = conn.Read(buf)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: w\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: {}\n\n\r\n")
		}
	}()
	return l.Addr().String()
}

// BenchmarkTransportIdleStream measures the memory per stream that waits for its next
// event. The figure includes the memory of the fake upstream, which the run named "none"
// measures alone.
func BenchmarkTransportIdleStream(b *testing.B) {
	const streams = 1000
	all := transports(b)
	all["none"] = nil
	for name, t := range all {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				addr := idleServer(b)
				before := memoryInUse()
				closers := make([]func(), 0, streams)
				for range streams {
					closers = append(closers, openIdle(b, t, addr))
				}
				b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
				for _, c := range closers {
					c()
				}
			}
		})
	}
}

// openIdle opens a stream, waits for its first event and returns a function that closes
// it.
func openIdle(b *testing.B, t transport, addr string) func() {
	b.Helper()
	if t == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
		return func() { _ = conn.Close() }
	}
	ready := make(chan struct{}, 1)
	x := &exchange{updated: ready, maxBuffered: readAheadBytes}
	t.Start(x, &upstreamRequest{address: addr, method: http.MethodGet, uri: "/", header: make(http.Header), newConn: true})
	for {
		<-ready
		p := x.poll(true)
		if p.err != nil {
			b.Fatal(p.err)
		}
		if len(p.body) > 0 {
			return func() { x.cancel() }
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
