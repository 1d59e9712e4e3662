package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is how often a worker writes to the store.
	heartbeat = 1200 * time.Millisecond
	// keepAlive is how long a worker keeps an idle connection, as it announces.
	keepAlive = 15 * time.Second
)

// workerConfig describes one worker.
type workerConfig struct {
	service, zone string
	slots         int
	// events is the number of events of a stream, work the time to the first of them or to an
	// answer, and pause the time between two events.
	events      int
	work, pause time.Duration
	// unframed is true if streams have neither a length nor chunks and end with their connection.
	unframed bool
	// onRun is called for each request that the worker begins to work on.
	onRun func(id string, r *http.Request)
}

// worker is a stand-in of a model worker or a plain service. It keeps to the protocol: it names
// its instance, turns away what is meant for another one, and says what it did not run.
type worker struct {
	cfg     workerConfig
	id      string
	address string
	born    int64
	store   *store
	server  *http.Server
	ended   chan struct{}

	state   atomic.Value
	running atomic.Int64
	calls   atomic.Int64
	// whole counts the unframed streams that were written to their end.
	whole atomic.Int64
	slots chan struct{}
	once  sync.Once
}

var workerCount atomic.Int64

// startWorker starts a worker and registers it.
func startWorker(s *store, cfg workerConfig) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		cfg: cfg, id: fmt.Sprintf("i-%08x", workerCount.Add(1)*2654435761%(1<<32)), address: ln.Addr().String(),
		born: time.Now().UnixMilli(), store: s, ended: make(chan struct{}), slots: make(chan struct{}, cfg.slots),
	}
	w.state.Store("ready")
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: keepAlive, IdleTimeout: keepAlive}
	go func() { _ = w.server.Serve(ln) }()
	w.register()
	go w.beat()
	return w, nil
}

func (w *worker) register() {
	w.store.put("servers", w.id, map[string]any{
		"service": w.cfg.service, "address": w.address, "zone": w.cfg.zone, "version": "v1", "slots": w.cfg.slots,
		"state": w.state.Load(), "coldLeftMs": 0, "stage": "unified", "callSeq": w.calls.Add(1), "born": w.born,
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

func (w *worker) beat() {
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(heartbeat):
			w.register()
		}
	}
}

// leave drains the worker as a planned stop does: it says so in the store, serves on for a time,
// removes its entry and exits, which closes its connections.
func (w *worker) leave(serveOn time.Duration) {
	w.state.Store("draining")
	w.register()
	time.Sleep(serveOn)
	w.stop()
}

// stop removes the worker's entry and ends it.
func (w *worker) stop() {
	w.once.Do(func() {
		close(w.ended)
		w.store.remove("servers", w.id)
		_ = w.server.Close()
	})
}

func (w *worker) load() string {
	n := w.running.Load()
	return fmt.Sprintf("%d,%d,%d,100", min(n, int64(w.cfg.slots)), max(0, n-int64(w.cfg.slots)), w.cfg.slots)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Lentilwood-Instance-Id", w.id)
	h.Set("Lentilwood-Server-Load", w.load())
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(keepAlive.Seconds())))
	leaving := w.state.Load() == "draining"
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	id := r.Header.Get("Lentilwood-Attempt-Id")
	if id != "" {
		h.Set("Lentilwood-Attempt-Id", id)
	}
	switch expected := r.Header.Get("Lentilwood-Expect-Instance"); {
	case r.URL.Path == "/healthz" && id == "":
		if leaving {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case expected != "" && expected != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("Lentilwood-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.running.Add(1)
	defer w.running.Add(-1)
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.run(out, r, id)
}

// run works on a request that has a slot.
func (w *worker) run(out http.ResponseWriter, r *http.Request, id string) {
	w.cfg.onRun(id, r)
	if !sleep(r, w.cfg.work) {
		return
	}
	h := out.Header()
	h.Set("Lentilwood-Response-Seal", "seal-"+id)
	if w.cfg.events == 0 {
		_, _ = io.WriteString(out, bodyOf(id))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if w.cfg.unframed {
		w.runUnframed(out, id)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(out)
	for i := last + 1; i <= w.cfg.events; i++ {
		if i > last+1 && !sleep(r, w.cfg.pause) {
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = controller.Flush()
	}
}

// sleep waits, and reports whether the request's connection is still open.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// bodyOf is the whole body of the answer to a request.
func bodyOf(id string) string { return fmt.Sprintf("%-800s", "answer to "+id) }

// runUnframed answers with a stream that ends with its connection.
func (w *worker) runUnframed(out http.ResponseWriter, id string) {
	h := out.Header().Clone()
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	h.Set("Connection", "close")
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&head)
	head.WriteString("\r\n")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return
	}
	for i := 1; i <= w.cfg.events; i++ {
		if i > 1 {
			time.Sleep(w.cfg.pause)
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
			return
		}
	}
	w.whole.Add(1)
}
