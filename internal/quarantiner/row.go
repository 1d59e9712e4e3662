package quarantiner

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file convert the evidence behind the verdicts to and from a row of a store,
// which keeps it while all routers restart.

// maxRowBytes is the most that the store takes as the value of a row.
const maxRowBytes = 65_536

// ErrRow means that a row does not hold evidence.
var ErrRow = merry.Sentinel("row holds no evidence")

// row is the value of the row, in JSON.
type row struct {
	Crashes []rowCrash `json:"crashes"`
}

type rowCrash struct {
	Upstream messenger.NameHash `json:"upstream"`
	Process  uint64             `json:"process"`
	// AtMs is when the crash happened, by the clock of the store.
	AtMs     int64        `json:"atMs"`
	Suspects []rowSuspect `json:"suspects"`
}

type rowSuspect struct {
	Part      string             `json:"part"`
	Account   messenger.NameHash `json:"account"`
	Requests  uint16             `json:"requests"`
	Begun     bool               `json:"begun,omitempty"`
	Cleared   bool               `json:"cleared,omitempty"`
	Confirmed bool               `json:"confirmed,omitempty"`
}

// Verdicts returns the evidence of the crashes in which a confirmed part is an open suspect.
func (t *Table) Verdicts(now time.Time) Message {
	m := t.Message(now)
	m.Crashes = slices.DeleteFunc(m.Crashes, func(c Crash) bool { return !slices.ContainsFunc(c.Suspects, isConfirmed) })
	return m
}

func isConfirmed(s Suspect) bool { return s.Confirmed && !s.Cleared }

// ConfirmedParts returns the parts that are confirmed by the evidence, sorted.
func (m Message) ConfirmedParts() []messenger.ContentID {
	var parts []messenger.ContentID
	for _, c := range m.Crashes {
		for _, s := range c.Suspects {
			if isConfirmed(s) {
				parts = append(parts, s.Part)
			}
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// Combine returns what a row is to hold, given what it holds, this router's verdicts and when parts
// were cleared since. changed is true if the verdicts in the row become other ones; only then need
// it be written.
func Combine(now time.Time, stored, own Message, cleared map[messenger.ContentID]time.Time) (combined Message, changed bool) {
	var t Table
	t.Merge(now, withCleared(now, stored, cleared))
	t.Merge(now, own)
	combined = t.Verdicts(now)
	return combined, !slices.Equal(stored.ConfirmedParts(), combined.ConfirmedParts())
}

// withCleared returns m with the parts cleared in the crashes that happened before their clearing.
func withCleared(now time.Time, m Message, cleared map[messenger.ContentID]time.Time) Message {
	m.Crashes = slices.Clone(m.Crashes)
	for i := range m.Crashes {
		c := &m.Crashes[i]
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		c.Suspects = slices.Clone(c.Suspects)
		for j := range c.Suspects {
			if clearedAt, ok := cleared[c.Suspects[j].Part]; ok && !at.After(clearedAt) {
				c.Suspects[j].Cleared = true
			}
		}
	}
	return m
}

// EncodeRow returns the value of a row with the evidence; nowMs is the time of the store. If it
// would be too large, suspects that are not confirmed are left out, and then the oldest crashes.
func EncodeRow(m Message, nowMs int64) ([]byte, error) {
	slices.SortFunc(m.Crashes, func(a, b Crash) int { return int(a.AgeMs) - int(b.AgeMs) })
	value, err := encodeRow(m, nowMs)
	if err != nil || len(value) <= maxRowBytes {
		return value, err
	}
	for i := range m.Crashes {
		m.Crashes[i].Suspects = slices.DeleteFunc(slices.Clone(m.Crashes[i].Suspects), func(s Suspect) bool { return !isConfirmed(s) })
	}
	for {
		value, err = encodeRow(m, nowMs)
		if err != nil || len(value) <= maxRowBytes {
			return value, err
		}
		m.Crashes = m.Crashes[:len(m.Crashes)-1]
	}
}

func encodeRow(m Message, nowMs int64) ([]byte, error) {
	r := row{Crashes: make([]rowCrash, 0, len(m.Crashes))}
	for _, c := range m.Crashes {
		out := rowCrash{Upstream: c.ID.Upstream, Process: c.ID.Process, AtMs: nowMs - int64(c.AgeMs)}
		for _, s := range c.Suspects {
			out.Suspects = append(out.Suspects, rowSuspect{
				Part: s.Part.String(), Account: s.Account, Requests: s.Requests, Begun: s.Begun, Cleared: s.Cleared, Confirmed: s.Confirmed,
			})
		}
		r.Crashes = append(r.Crashes, out)
	}
	return json.Marshal(r)
}

// DecodeRow returns the evidence in a row, without the crashes that have expired; nowMs is the time
// of the store. A row that is missing has none. A crash ahead of that time was written by another
// clock, so its age is unknown and the row holds no evidence.
func DecodeRow(value []byte, nowMs int64) (Message, error) {
	var m Message
	if len(value) == 0 {
		return m, nil
	}
	var r row
	if len(value) > maxRowBytes {
		return m, merry.Prependf(ErrRow, "%d bytes", len(value))
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return m, merry.Prepend(ErrRow, err.Error())
	}
	for _, c := range r.Crashes {
		age := nowMs - c.AtMs
		if age < 0 {
			return Message{}, merry.Prependf(ErrRow, "crash %d ms ahead of the store", -age)
		}
		if age > crashTTL.Milliseconds() {
			continue
		}
		suspects, err := decodeSuspects(c.Suspects)
		if err != nil {
			return Message{}, err
		}
		m.Crashes = append(m.Crashes, Crash{ID: CrashID{Upstream: c.Upstream, Process: c.Process}, AgeMs: uint32(age), Suspects: suspects})
	}
	if len(m.Crashes) > maxCrashes {
		return Message{}, merry.Prependf(ErrRow, "%d crashes", len(m.Crashes))
	}
	return m, nil
}

func decodeSuspects(in []rowSuspect) ([]Suspect, error) {
	if len(in) > maxSuspects {
		return nil, merry.Prependf(ErrRow, "%d suspects of a crash", len(in))
	}
	suspects := make([]Suspect, 0, len(in))
	for _, s := range in {
		part, err := messenger.ParseContentID(s.Part)
		if err != nil || part == 0 {
			return nil, merry.Prependf(ErrRow, "part %q", s.Part)
		}
		suspects = append(suspects, Suspect{
			Part: part, Account: s.Account, Requests: s.Requests, Begun: s.Begun, Cleared: s.Cleared, Confirmed: s.Confirmed,
		})
	}
	return suspects, nil
}
