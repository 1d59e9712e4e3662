package meter

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Series counts the requests of one client account and class. If the account
// loses its series to another one, they count for the account Other.
type Series struct {
	own, other, class *family
}

// Accept counts a request that came in.
func (s Series) Accept() {
	s.each(func(f *family) { f.requests.Inc() })
}

// Refuse counts a request that was not run.
func (s Series) Refuse(reason messenger.RefuseReason) {
	s.each(func(f *family) { f.refusal(reason).Inc() })
}

// Tokens counts generated tokens.
func (s Series) Tokens(n int) {
	s.each(func(f *family) { f.tokens.Add(n) })
}

// Wait records the time from arrival to dispatch.
func (s Series) Wait(d time.Duration) {
	s.each(func(f *family) { f.wait.Update(d.Seconds()) })
}

// FirstToken records the time from arrival to the first output.
func (s Series) FirstToken(d time.Duration) {
	s.each(func(f *family) { f.firstToken.Update(d.Seconds()) })
}

// BetweenTokens records the time between two outputs.
func (s Series) BetweenTokens(d time.Duration) {
	s.each(func(f *family) { f.betweenTokens.Update(d.Seconds()) })
}

// Total records the time from arrival to the end of the answer.
func (s Series) Total(d time.Duration) {
	s.each(func(f *family) { f.total.Update(d.Seconds()) })
}

func (s Series) each(record func(*family)) {
	own := s.own
	if own.gone.Load() {
		own = s.other
	}
	record(own)
	record(s.class)
}

// family is the set of series with the same labels.
type family struct {
	set    *metrics.Set
	prefix string
	labels string
	names  []string
	// gone is true once the series are no longer shown.
	gone atomic.Bool

	requests, tokens                       *metrics.Counter
	wait, firstToken, betweenTokens, total *metrics.Histogram

	mu       sync.Mutex
	refusals map[messenger.RefuseReason]*metrics.Counter
}

// newFamily returns the series of an account and class, or those of a class as
// a whole if id is empty.
func newFamily(set *metrics.Set, id messenger.AccountID, class messenger.ClassID) *family {
	f := &family{
		set:      set,
		prefix:   "lentilwood_account_",
		labels:   fmt.Sprintf("account=%q,class=%q", id, class),
		refusals: map[messenger.RefuseReason]*metrics.Counter{},
	}
	if id == "" {
		f.prefix = "lentilwood_class_"
		f.labels = fmt.Sprintf("class=%q", class)
	}
	f.requests = set.GetOrCreateCounter(f.name("requests_total", ""))
	f.tokens = set.GetOrCreateCounter(f.name("tokens_total", ""))
	f.wait = set.GetOrCreateHistogram(f.name("wait_seconds", ""))
	f.firstToken = set.GetOrCreateHistogram(f.name("first_token_seconds", ""))
	f.betweenTokens = set.GetOrCreateHistogram(f.name("between_tokens_seconds", ""))
	f.total = set.GetOrCreateHistogram(f.name("total_seconds", ""))
	return f
}

// name returns the name of a series and notes it for unregister.
func (f *family) name(metric, label string) string {
	var b strings.Builder
	b.WriteString(f.prefix + metric + "{" + f.labels)
	if label != "" {
		b.WriteString("," + label)
	}
	b.WriteString("}")
	f.names = append(f.names, b.String())
	return b.String()
}

func (f *family) refusal(reason messenger.RefuseReason) *metrics.Counter {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.refusals[reason]
	if !ok && f.gone.Load() {
		// The series are no longer shown; count where nobody looks.
		return &metrics.Counter{}
	}
	if !ok {
		c = f.set.GetOrCreateCounter(f.name("refusals_total", fmt.Sprintf("reason=%q", reason)))
		f.refusals[reason] = c
	}
	return c
}

// unregister removes the series from set.
func (f *family) unregister(set *metrics.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone.Store(true)
	for _, name := range f.names {
		set.UnregisterMetric(name)
	}
}
