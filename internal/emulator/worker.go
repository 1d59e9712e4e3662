package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Values used where WorkerConfig leaves them zero.
const (
	defaultSlots           = 8
	defaultPrefillPerToken = 20 * time.Microsecond
	defaultStepTime        = 4 * time.Millisecond
	defaultStepPerStream   = 250 * time.Microsecond
	defaultCacheTokens     = 8192
	defaultGraceTime       = 5 * time.Second
	defaultMaxTokens       = 16
	defaultModelLoadTime   = 200 * time.Millisecond
)

// bytesPerToken is how many bytes of a prompt count as one token.
const bytesPerToken = 4

// WorkerConfig describes a worker. Zero values mean the defaults.
type WorkerConfig struct {
	Name string
	// Slots is how many streams the batch holds.
	Slots int
	// PrefillPerToken is the time for a token of a prompt.
	PrefillPerToken time.Duration
	// StepTime is the time of a step, and StepTimePerStream what each running
	// stream adds to it.
	StepTime, StepTimePerStream time.Duration
	// Instant makes work take no time.
	Instant bool
	// CacheTokens is the memory for prompt prefixes.
	CacheTokens int
	// CacheLag and CacheGaps are the delay of cache events and the share of
	// them that is lost.
	CacheLag  time.Duration
	CacheGaps float64
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// GraceTime is how long a stream runs on, and a finished one is kept,
	// without a reader.
	GraceTime time.Duration
	// Models are loaded from the start; with none, every model is served.
	Models []string
	// ModelBytes is what a model's weights take from the weight store, and
	// Weights is that store; without one a model loads in ModelLoadTime.
	ModelBytes    int64
	Weights       *WeightStore
	ModelLoadTime time.Duration
	// ChecksFence makes the worker refuse orders with an old fencing number.
	ChecksFence bool
	// Seed drives the gaps.
	Seed uint64
	// Log gets the listener's lines.
	Log *logrus.Logger
}

func (cfg *WorkerConfig) setDefaults() {
	cfg.Slots = orDefault(cfg.Slots, defaultSlots)
	cfg.PrefillPerToken = orDefault(cfg.PrefillPerToken, defaultPrefillPerToken)
	cfg.StepTime = orDefault(cfg.StepTime, defaultStepTime)
	cfg.StepTimePerStream = orDefault(cfg.StepTimePerStream, defaultStepPerStream)
	if cfg.Instant {
		cfg.PrefillPerToken, cfg.StepTime, cfg.StepTimePerStream = 0, 0, 0
	}
	cfg.CacheTokens = orDefault(cfg.CacheTokens, defaultCacheTokens)
	cfg.GraceTime = orDefault(cfg.GraceTime, defaultGraceTime)
	cfg.ModelLoadTime = orDefault(cfg.ModelLoadTime, defaultModelLoadTime)
}

// Worker is a stand-in for a model engine.
type Worker struct {
	standin
	cfg    WorkerConfig
	engine *engine
	load   loadHistory
	orders orderBook

	// down is true from a crash until the worker is back.
	down    atomic.Bool
	crashes atomic.Int64

	stopOnce sync.Once
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Stream    bool   `json:"stream"`
	Adapter   string `json:"adapter,omitempty"`
}

// Usage is what a request took.
type Usage struct {
	CompletionTokens int `json:"completionTokens"`
	CachedTokens     int `json:"cachedTokens"`
}

// NewWorker returns a worker that is not started yet.
func NewWorker(cfg WorkerConfig, clock timekeeper.Clock) *Worker {
	cfg.setDefaults()
	w := &Worker{cfg: cfg}
	w.load.lag = cfg.LoadLag
	w.init(cfg.Name, clock, cfg.Log)
	w.orders.init(cfg)
	w.engine = newEngine(cfg, &w.standin, &w.load)
	w.mux.HandleFunc("POST /v1/completions", w.serveCompletion)
	w.mux.HandleFunc("GET /v1/streams/{id}", w.serveResume)
	w.mux.HandleFunc("DELETE /v1/streams/{id}", w.serveCancel)
	w.mux.HandleFunc("POST /v1/streams/{id}/export", w.serveExport)
	w.mux.HandleFunc("POST /v1/streams/{id}/import", w.serveImport)
	w.mux.HandleFunc("GET /v1/load", w.serveLoad)
	w.mux.HandleFunc("GET /v1/cacheEvents", w.serveCacheEvents)
	w.mux.HandleFunc("POST /v1/orders", w.serveOrder)
	w.mux.HandleFunc("GET /v1/state", w.serveState)
	return w
}

// Start opens the port at address and runs the engine.
func (w *Worker) Start(address string) error {
	if err := w.standin.Start(address); err != nil {
		return err
	}
	go w.engine.run()
	return nil
}

// Stop loses everything in progress, as the loss of a VM does.
func (w *Worker) Stop() {
	w.stopOnce.Do(func() {
		close(w.engine.stop)
		w.standin.Stop()
	})
}

func (w *Worker) serveCompletion(rw http.ResponseWriter, r *http.Request) {
	f := w.take()
	id := w.requestID(r)
	echoID(rw, id, f)
	var req completion
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		replyError(rw, http.StatusBadRequest, "the body is not JSON: "+err.Error())
		return
	}
	if !refuseOrDrop(rw, f) || !w.waitWhileSilent(done(rw)) {
		return
	}
	if !w.orders.serves(req.Model, req.Adapter, w.clock.Now()) {
		replyError(rw, http.StatusNotFound, fmt.Sprintf("model %q with adapter %q is not loaded", req.Model, req.Adapter))
		return
	}
	if f.Garbage {
		fmt.Fprint(rw, "\x00\xffgarbage")
		return
	}
	s := w.newStream(id, req, r.Header)
	reading := newReader()
	w.engine.submit(s, reading)
	w.answer(&answer{w: w, rw: rw, ctx: r.Context(), s: s, reading: reading, faults: f})
}

func (w *Worker) newStream(id string, req completion, h http.Header) *stream {
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return &stream{
		id: id, request: req,
		prefix: h.Get(messenger.PrefixHeader),
		prompt: len(req.Prompt)/bytesPerToken + 1,
		entry: &Entry{
			RequestID: id, Key: h.Get(messenger.IdempotencyKeyHeader), Path: "/v1/completions",
			Model: req.Model, Outcome: Running, Arrived: w.clock.Now(),
		},
	}
}

func (w *Worker) serveResume(rw http.ResponseWriter, r *http.Request) {
	f := w.take()
	id := r.PathValue("id")
	echoID(rw, id, f)
	after := 0
	if last := r.Header.Get(messenger.LastEventIDHeader); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			replyError(rw, http.StatusBadRequest, "Last-Event-Id is not an event's number")
			return
		}
		after = n
	}
	if !refuseOrDrop(rw, f) || !w.waitWhileSilent(done(rw)) {
		return
	}
	s, reading := w.engine.resume(id)
	if s == nil {
		replyError(rw, http.StatusNotFound, "no such stream")
		return
	}
	w.answer(&answer{w: w, rw: rw, ctx: r.Context(), s: s, reading: reading, sent: after, faults: f})
}

func (w *Worker) serveCancel(rw http.ResponseWriter, r *http.Request) {
	if !w.waitWhileSilent(done(rw)) {
		return
	}
	if !w.engine.cancel(r.PathValue("id")) {
		replyError(rw, http.StatusNotFound, "no such stream")
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	if !w.waitWhileSilent(done(rw)) {
		return
	}
	reply(rw, http.StatusOK, w.load.report(w.clock.Now(), w.cfg.Slots, w.current().Leaving))
}

func (w *Worker) serveCacheEvents(rw http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil && r.URL.Query().Get("since") != "" {
		replyError(rw, http.StatusBadRequest, "since is not a number")
		return
	}
	if !w.waitWhileSilent(done(rw)) {
		return
	}
	reply(rw, http.StatusOK, w.engine.cacheEvents(since))
}
