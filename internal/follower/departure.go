package follower

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Departure is an upstream that announced in an answer that it is leaving.
type Departure struct {
	_        struct{} `codec:",toarray"`
	Upstream messenger.UpstreamID
	// StartedUnixMs is the start time of the process that announced it, in Unix milliseconds;
	// zero if its row has none.
	StartedUnixMs int64
}

// RecordDeparture records that an upstream, reached at address, announced that it is leaving.
// It reports whether this is new. The departure holds until the upstream's row names another
// process. An announcement from an address other than that in the row comes from an earlier
// process and is ignored.
func (f *Follower) RecordDeparture(id messenger.UpstreamID, address string) bool {
	e, ok := f.rows[RegistrationTable][string(id)]
	if !ok || e.lastPolicy.Address != address {
		return false
	}
	return f.recordDeparture(id, e)
}

func (f *Follower) recordDeparture(id messenger.UpstreamID, e *entry) bool {
	if started, ok := f.departing[string(id)]; ok && started.Equal(e.lastPolicy.Started) {
		return false
	}
	f.departing[string(id)] = e.lastPolicy.Started
	return true
}

// RecordPeerDeparture records a departure received from another router and reports whether it
// is new. It ignores a departure of a process other than that in the row.
func (f *Follower) RecordPeerDeparture(d Departure) bool {
	e, ok := f.rows[RegistrationTable][string(d.Upstream)]
	if !ok || startedUnixMs(e.lastPolicy.Started) != d.StartedUnixMs {
		return false
	}
	return f.recordDeparture(d.Upstream, e)
}

// recordLeavingAsDepartures records the upstreams that are leaving by their rows as departures, so that
// an older copy of these rows doesn't return them to use.
func (f *Follower) recordLeavingAsDepartures() {
	for key, e := range f.rows[RegistrationTable] {
		if e.lastPolicy.Leaving {
			f.recordDeparture(messenger.UpstreamID(key), e)
		}
	}
}

// Departures returns the upstreams that announced that they are leaving while their rows do
// not say so yet.
func (f *Follower) Departures() []Departure {
	var out []Departure
	for key := range f.departing {
		e := f.rows[RegistrationTable][key]
		if !e.row.Deleted && e.readable && !e.upstream.Leaving && f.isDeparting(key, e.upstream) {
			out = append(out, Departure{Upstream: messenger.UpstreamID(key), StartedUnixMs: startedUnixMs(e.upstream.Started)})
		}
	}
	return out
}

// isDeparting reports whether the process named in a row announced that it is leaving.
func (f *Follower) isDeparting(key string, u messenger.UpstreamPolicy) bool {
	started, ok := f.departing[key]
	return ok && started.Equal(u.Started)
}

func startedUnixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
