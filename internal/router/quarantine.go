package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/quarantiner"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// quarantine is the table of quarantined prompt parts of a router. It is safe for concurrent
// use and implements dispatcher.Quarantine.
type quarantine struct {
	clock timekeeper.Clock
	log   *logrus.Logger
	// onBegin is called without the lock when a quarantine has begun, onNews, if set, when this
	// router's own observations have changed the evidence.
	onBegin, onNews func()
	// onVerdicts, if set, is called without the lock when quarantines have begun or ended.
	onVerdicts func([]quarantiner.Change)
	meter      *meter.Meter
	// partCount is the number of quarantined parts.
	partCount atomic.Int64

	mu    sync.Mutex
	table quarantiner.Table
	// updatedAt is when the ruling was last brought up to date.
	updatedAt time.Time
	// news is true if the evidence has changed since the last call of takeNews.
	news bool
}

// updateInterval is the time after which the ruling is brought up to date without new evidence.
const updateInterval = 20 * time.Millisecond

// newQuarantine returns an empty table with the parts that the settings name.
func newQuarantine(clock timekeeper.Clock, log *logrus.Logger, m *meter.Meter, settings loader.Quarantine) *quarantine {
	q := &quarantine{clock: clock, log: log, meter: m}
	q.table.SetByHand(q.parseParts(settings.Held), q.parseParts(settings.Exempt))
	q.partCount.Store(int64(len(q.table.Quarantined())))
	m.Gauge("lentilwood_quarantined_parts", func() float64 { return float64(q.partCount.Load()) })
	return q
}

// parseParts parses the IDs of prompt parts in settings, which the loader has checked.
func (q *quarantine) parseParts(texts []string) []messenger.ContentID {
	ids := make([]messenger.ContentID, 0, len(texts))
	for _, text := range texts {
		id, err := messenger.ParseContentID(text)
		if err != nil {
			q.log.WithField(eventField, "quarantine").WithError(err).Error("prompt part in the settings ignored")
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// Rule decides whether a request may run.
func (q *quarantine) Rule(in quarantiner.Inquiry) quarantiner.Ruling {
	if q.partCount.Load() == 0 {
		return quarantiner.Ruling{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Rule(q.clock.Now(), in)
}

// MayRepeat reports whether a request that lost its connection before any output may be sent
// to another upstream.
func (q *quarantine) MayRepeat(upstream messenger.UpstreamID, started time.Time, parts []messenger.ContentID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.MayRepeat(q.clock.Now(), upstream, started, parts)
}

// Observe records what happened to an attempt.
func (q *quarantine) Observe(e quarantiner.Event) {
	changed := q.change(func(now time.Time) { q.table.Observe(now, e) })
	if changed && q.onNews != nil {
		q.onNews()
	}
}

// merge adds the evidence of another router.
func (q *quarantine) merge(m quarantiner.Message) {
	q.change(func(now time.Time) { q.table.Merge(now, m) })
}

// tick lets time pass.
func (q *quarantine) tick() { q.change(func(time.Time) {}) }

// mergeStored adds evidence from the store, and returns that of this router's verdicts.
func (q *quarantine) mergeStored(m quarantiner.Message) quarantiner.Message {
	q.update(func(now time.Time) { q.table.Merge(now, m) })
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdicts(q.clock.Now())
}

// change applies a change to the table and reports the verdicts that follow from it. It reports
// whether the evidence is another one now.
func (q *quarantine) change(apply func(now time.Time)) bool {
	changed, verdicts := q.update(apply)
	if len(verdicts) > 0 && q.onVerdicts != nil {
		q.onVerdicts(verdicts)
	}
	return changed
}

// update applies a change to the table and logs what follows from it. It returns whether the
// evidence is another one now, and the verdicts that have changed.
func (q *quarantine) update(apply func(now time.Time)) (bool, []quarantiner.Change) {
	q.mu.Lock()
	now := q.clock.Now()
	before, known := q.table.Checksum(), q.table.CrashCount()
	apply(now)
	var changes []quarantiner.Change
	if q.table.Checksum() != before || now.Sub(q.updatedAt) >= updateInterval {
		changes = q.table.Update(now)
		q.updatedAt = now
	}
	added := q.table.CrashCount() - known
	changed := q.table.Checksum() != before
	q.news = q.news || changed
	if len(changes) > 0 {
		q.partCount.Store(int64(len(q.table.Quarantined())))
	}
	q.mu.Unlock()
	if added > 0 {
		q.meter.Counter("lentilwood_upstream_crashes_total").Add(added)
	}
	for _, c := range changes {
		q.logChange(c)
	}
	return changed, changes
}

func (q *quarantine) logChange(c quarantiner.Change) {
	q.log.WithFields(logrus.Fields{
		eventField: "quarantine", "part": c.Part, "on": c.Quarantined, "cleared": c.Cleared, "crashes": c.Crashes, "accounts": c.Accounts, "begun": c.Begun, "spanMs": c.Span.Milliseconds(),
		"lostShare": roundTo2Digits(c.LostShare), "begunShare": roundTo2Digits(c.BegunShare), "evidence": roundTo2Digits(c.Evidence),
	}).Warn("quarantine of a prompt part changed")
	if c.Quarantined {
		q.onBegin()
	}
}

// checksum returns the checksum of the evidence.
func (q *quarantine) checksum() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Checksum()
}

// message returns the evidence.
func (q *quarantine) message() quarantiner.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Message(q.clock.Now())
}

// takeNews reports whether the evidence has changed since the last call.
func (q *quarantine) takeNews() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	news := q.news
	q.news = false
	return news
}

// setRouters sets the number of routers in the fleet.
func (q *quarantine) setRouters(n int, self messenger.RouterID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.SetRouters(n, uint64(messenger.HashName(self)))
}

// setUpstreams compares the evidence with the upstreams that are registered now. It runs on the
// control goroutine, which spreads the news at its next tick.
func (q *quarantine) setUpstreams(upstreams map[messenger.UpstreamID]messenger.UpstreamPolicy) {
	processes := quarantiner.Processes{Lookup: func(id messenger.UpstreamID) (time.Time, quarantiner.Status) {
		u, ok := upstreams[id]
		switch {
		case !ok:
			return time.Time{}, quarantiner.Gone
		case u.Leaving:
			return u.Started, quarantiner.Leaving
		}
		return u.Started, quarantiner.Running
	}}
	q.change(func(now time.Time) { q.table.Observe(now, processes) })
}

// quarantined returns the quarantined parts.
func (q *quarantine) quarantined() []messenger.ContentID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined()
}

// evidenceSync is what is known of the evidence of another router, to decide whether to send it
// this one's.
type evidenceSync struct {
	// checksum is the checksum that the other router last reported, sent the one of the
	// evidence that it was last sent, and sentAt when that was.
	checksum, sent uint64
	sentAt         time.Time
}

// evidenceResend is the time between two sendings of the same evidence to a router that does
// not confirm it.
const evidenceResend = 500 * time.Millisecond

// isDue reports whether the other router is to be sent evidence with the given checksum, and
// assumes that it is.
func (s *evidenceSync) isDue(now time.Time, checksum uint64) bool {
	if checksum == 0 || s.checksum == checksum {
		return false
	}
	if s.sent == checksum && now.Sub(s.sentAt) < evidenceResend {
		return false
	}
	s.sent, s.sentAt = checksum, now
	return true
}
