// Package meter keeps the metrics of a process: histograms and counters for
// each client account and class, and counters of the control traffic.
//
// The number of series is bounded. Every observation counts in the series of
// its class. Beside these, a limited number of client accounts have series of
// their own at a time; the rest share the account "other". An account takes
// the place of another one only after that one was unused for IdleTime, so
// that series don't come and go with every request.
//
// # Usage
//
//	m := meter.New(clock, 64)
//	s := m.Series("riga-1", "consultation")
//	s.Accept()
//	s.Wait(12 * time.Millisecond)
//	m.WritePrometheus(w)
package meter

import (
	"container/list"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// Other is the account that stands for all without series of their own,
	// and the class that stands for all beyond MaxClasses.
	Other = "other"
	// IdleTime is how long an account must be unused before another one may
	// take the place of its series.
	IdleTime = 5 * time.Minute
	// MaxClasses bounds the classes that have series.
	MaxClasses = 32
)

// Meter keeps the metrics of one process. It is safe for concurrent use.
type Meter struct {
	clock timekeeper.Clock
	set   *metrics.Set
	limit int

	mu       sync.Mutex
	accounts map[messenger.AccountID]*list.Element
	// recent holds *account, most recently used first.
	recent  list.List
	other   *account
	classes map[messenger.ClassID]*family
}

// account holds the series of one client account.
type account struct {
	id       messenger.AccountID
	used     time.Time
	families map[messenger.ClassID]*family
}

// New returns a Meter in which at most maxAccounts client accounts have series
// of their own at a time.
func New(clock timekeeper.Clock, maxAccounts int) *Meter {
	return &Meter{
		clock:    clock,
		set:      metrics.NewSet(),
		limit:    maxAccounts,
		accounts: map[messenger.AccountID]*list.Element{},
		other:    newAccount(Other),
		classes:  map[messenger.ClassID]*family{},
	}
}

func newAccount(id messenger.AccountID) *account {
	return &account{id: id, families: map[messenger.ClassID]*family{}}
}

// Series returns the series that count requests of one client account and
// class. A request keeps them until it ends.
func (m *Meter) Series(id messenger.AccountID, class messenger.ClassID) Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.classes[class]; !known {
		if len(m.classes) >= MaxClasses {
			class = Other
		}
		if m.classes[class] == nil {
			m.classes[class] = newFamily(m.set, "", class)
		}
	}
	return Series{
		own:   m.familyOf(m.accountOf(id), class),
		other: m.familyOf(m.other, class),
		class: m.classes[class],
	}
}

// accountOf returns the series of id, or those of Other if id has none.
func (m *Meter) accountOf(id messenger.AccountID) *account {
	now := m.clock.Now()
	if e, ok := m.accounts[id]; ok {
		a := e.Value.(*account)
		a.used = now
		m.recent.MoveToFront(e)
		return a
	}
	if id == Other || !m.makeRoom(now) {
		return m.other
	}
	a := newAccount(id)
	a.used = now
	m.accounts[id] = m.recent.PushFront(a)
	return a
}

// makeRoom reports whether one more account may have series of its own.
func (m *Meter) makeRoom(now time.Time) bool {
	if len(m.accounts) < m.limit {
		return true
	}
	oldest := m.recent.Back()
	if oldest == nil {
		return false
	}
	a := oldest.Value.(*account)
	if now.Sub(a.used) < IdleTime {
		return false
	}
	for _, f := range a.families {
		f.unregister(m.set)
	}
	m.recent.Remove(oldest)
	delete(m.accounts, a.id)
	return true
}

func (m *Meter) familyOf(a *account, class messenger.ClassID) *family {
	f, ok := a.families[class]
	if !ok {
		f = newFamily(m.set, a.id, class)
		a.families[class] = f
	}
	return f
}

// Accounts returns how many client accounts have series of their own.
func (m *Meter) Accounts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.accounts)
}

// Gauge registers a gauge that calls f whenever the metrics are read.
func (m *Meter) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Counter returns a counter, which is made at its first use.
func (m *Meter) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// WritePrometheus writes all metrics, those of the process included.
func (m *Meter) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
