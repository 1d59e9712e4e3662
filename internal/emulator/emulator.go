// Package emulator holds small stand-ins for the upstreams: a worker, which is
// a model engine that batches continuously, and a plain service, some of whose
// calls may not be repeated. Tests, scenarios and the demo send their work to
// them and read in their journals what really ran.
//
// A worker has a number of slots and a first-come queue. One step of its
// batch yields one token for each running stream and takes longer the more
// streams run; a stream's first step also takes the time for its prompt, less
// what the prefix cache holds. It knows no priorities. Its load reports are
// late and its cache events are late and have gaps.
//
// # Usage
//
//	w := emulator.NewWorker(emulator.WorkerConfig{Name: "w1", Slots: 8}, timekeeper.System{})
//	err := w.Start("127.0.0.1:0")
//	defer w.Stop()
//	w.SetFaults(emulator.Faults{SlowFactor: 5})
//	ran := w.Journal()
//
// Several dozen run in one process: a worker has one goroutine besides those
// of its listener.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// maxBody bounds a request's body.
const maxBody = 64 << 20

// standin is what the worker and the service have in common.
type standin struct {
	name     string
	clock    timekeeper.Clock
	log      *logrus.Logger
	mux      *http.ServeMux
	journal  journal
	requests atomic.Int64

	mu       sync.Mutex
	faults   Faults
	affected int
	// frozen is when the last freeze was.
	frozen time.Time
	// changed is closed and replaced when the faults change.
	changed chan struct{}

	// port changes when a worker restarts.
	port *listener.Listener
}

func (s *standin) init(name string, clock timekeeper.Clock, log *logrus.Logger) {
	s.name = name
	s.clock = clock
	s.log = log
	s.changed = make(chan struct{})
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	s.mux.HandleFunc("GET /standin/journal", s.serveJournal)
	s.mux.HandleFunc("GET /standin/faults", s.serveFaults)
	s.mux.HandleFunc("POST /standin/faults", s.serveFaults)
}

// Start opens the port at address and serves it.
func (s *standin) Start(address string) error {
	port, err := listener.Start(listener.Config{
		Name: s.name, Address: address, MaxBodyBytes: maxBody, Log: s.log, Clock: s.clock,
		Handler: s.serve,
	})
	if err != nil {
		return merry.Prependf(err, "start stand-in %s", s.name)
	}
	s.mu.Lock()
	s.port = port
	s.mu.Unlock()
	return nil
}

// serve passes a request on unless it came in on a frozen connection.
func (s *standin) serve(c *listener.Caller, r *http.Request) {
	if s.isFrozen(c) {
		holdSilent(c)
	}
	s.mux.ServeHTTP(c, r)
}

// Addr returns the address of the port.
func (s *standin) Addr() string { return s.listener().Addr() }

// listener returns the port, or nil before the start.
func (s *standin) listener() *listener.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.port
}

// Stop cuts every connection off, as the loss of a VM does.
func (s *standin) Stop() {
	port := s.listener()
	if port == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = port.Shutdown(ctx)
}

// Journal returns what ran so far, oldest first.
func (s *standin) Journal() []Entry { return s.journal.entries() }

func (s *standin) serveJournal(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, struct {
		Entries []Entry `json:"entries"`
	}{s.Journal()})
}

// requestID returns the caller's id of a request, or a new one.
func (s *standin) requestID(r *http.Request) string {
	if id := r.Header.Get(messenger.RequestIDHeader); id != "" {
		return id
	}
	return fmt.Sprintf("%s-%d", s.name, s.requests.Add(1))
}

// echoID sets the request id of an answer, or a wrong one.
func echoID(w http.ResponseWriter, id string, f Faults) {
	if f.WrongID {
		id = "other-" + id
	}
	w.Header().Set(messenger.RequestIDHeader, id)
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// failure is the body of an answer that reports an error.
type failure struct {
	Error string `json:"error"`
}

func replyError(w http.ResponseWriter, status int, text string) { reply(w, status, failure{text}) }

func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
