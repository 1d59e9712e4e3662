package follower

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Departure is an upstream that said itself that it leaves.
type Departure struct {
	_        struct{} `codec:",toarray"`
	Upstream messenger.UpstreamID
	// StartedUnixMs is when the process started that said so, in Unix milliseconds; zero if
	// its row does not say.
	StartedUnixMs int64
}

// RecordDeparture notes that an upstream said itself, at an address, that it leaves, and
// reports whether that is news. It holds until its row names another process. What is said at
// another address than that of its row is of a process that its row no longer names.
func (f *Follower) RecordDeparture(id messenger.UpstreamID, address string) bool {
	e, ok := f.rows[RegistrationTable][string(id)]
	if !ok || e.last.Address != address {
		return false
	}
	return f.noteDeparture(id, e)
}

func (f *Follower) noteDeparture(id messenger.UpstreamID, e *entry) bool {
	if started, ok := f.departing[string(id)]; ok && started.Equal(e.last.Started) {
		return false
	}
	f.departing[string(id)] = e.last.Started
	return true
}

// RecordPeerDeparture takes in a departure that another router knows of, and reports whether
// that is news. One of another process than the row names is of no use.
func (f *Follower) RecordPeerDeparture(d Departure) bool {
	e, ok := f.rows[RegistrationTable][string(d.Upstream)]
	if !ok || startedMS(e.last.Started) != d.StartedUnixMs {
		return false
	}
	return f.noteDeparture(d.Upstream, e)
}

// Departures returns the upstreams that are registered as if they stayed and said
// themselves that they leave.
func (f *Follower) Departures() []Departure {
	var out []Departure
	for key := range f.departing {
		e := f.rows[RegistrationTable][key]
		if !e.row.Deleted && e.readable && !e.upstream.Leaving && f.departs(key, e.upstream) {
			out = append(out, Departure{Upstream: messenger.UpstreamID(key), StartedUnixMs: startedMS(e.upstream.Started)})
		}
	}
	return out
}

// departs reports whether the process of a row said itself that it leaves.
func (f *Follower) departs(key string, u messenger.UpstreamPolicy) bool {
	started, ok := f.departing[key]
	return ok && started.Equal(u.Started)
}

func startedMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
