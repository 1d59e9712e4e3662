package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	Name string
	// Slots is how many requests it runs at a time; zero means 8.
	Slots int
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// LoadLag is how old its load reports are.
	LoadLag time.Duration
	// Log gets the listener's lines.
	Log *logrus.Logger
}

// Service is a plain service with an idempotent lookup and calls that may not
// be repeated: it runs each one that it gets and keeps no record of keys.
type Service struct {
	standin
	cfg     ServiceConfig
	slots   chan struct{}
	waiting atomic.Int64
	load    loadHistory
	serial  atomic.Int64
}

// stockRange bounds the stock that lookups report.
const stockRange = 100

// NewService returns a service that is not started yet.
func NewService(cfg ServiceConfig, clock timekeeper.Clock) *Service {
	cfg.Slots = orDefault(cfg.Slots, defaultSlots)
	s := &Service{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	s.load.lag = cfg.LoadLag
	s.init(cfg.Name, clock, cfg.Log)
	s.mux.HandleFunc("GET /stock/{item}", s.serveStock)
	s.mux.HandleFunc("POST /reservations", s.serveCommit)
	s.mux.HandleFunc("POST /printRuns", s.serveCommit)
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	return s
}

// Stock returns the stock of an item that lookups report.
func Stock(item string) int { return int(xxhash.Sum64String(item) % stockRange) }

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	s.serveWork(w, r, struct {
		Item  string `json:"item"`
		Count int    `json:"count"`
	}{item, Stock(item)})
}

func (s *Service) serveCommit(w http.ResponseWriter, r *http.Request) {
	var order json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		replyError(w, http.StatusBadRequest, "the body is not JSON: "+err.Error())
		return
	}
	s.serveWork(w, r, struct {
		ID    string          `json:"id"`
		Order json.RawMessage `json:"order"`
	}{fmt.Sprintf("%s-%d", s.name, s.serial.Add(1)), order})
}

// serveWork runs one request and answers it, faults included.
func (s *Service) serveWork(w http.ResponseWriter, r *http.Request, answer any) {
	f := s.take()
	id := s.requestID(r)
	echoID(w, id, f)
	if !refuseOrDrop(w, f) || !s.waitWhileSilent(done(w)) {
		return
	}
	s.run(r, id, f)
	switch {
	case f.DropBeforeAnswer:
		panic(http.ErrAbortHandler)
	case f.SilentAfterEvents > 0 || s.isFrozen(w):
		holdSilent(w)
	case f.Garbage:
		fmt.Fprint(w, "\x00\xffgarbage")
	default:
		reply(w, http.StatusOK, answer)
	}
}

func (s *Service) run(r *http.Request, id string, f Faults) {
	e := &Entry{
		RequestID: id, Key: r.Header.Get(messenger.IdempotencyKeyHeader),
		Path: r.URL.Path, Outcome: Running, Arrived: s.clock.Now(),
	}
	s.waiting.Add(1)
	s.noteLoad()
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.noteLoad()
	e.Started = s.clock.Now()
	s.journal.add(e)
	if d := stretch(s.cfg.ServiceTime, f); d > 0 {
		<-s.clock.After(d)
	}
	s.journal.update(func() {
		e.Outcome = Finished
		e.Finished = s.clock.Now()
	})
	<-s.slots
	s.noteLoad()
}

func (s *Service) noteLoad() {
	s.load.note(s.clock.Now(), len(s.slots), int(s.waiting.Load()))
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.load.report(s.clock.Now(), s.cfg.Slots, s.current().Leaving))
}
