package quarantiner

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Message is the evidence of one router, for another one. Merging is idempotent and needs no
// order, and messages may be lost. It is encoded as an array, so the order of the fields is part
// of the wire format.
type Message struct {
	_       struct{} `codec:",toarray"`
	Crashes []Crash
}

// Crash is the end of one process of an upstream.
type Crash struct {
	_  struct{} `codec:",toarray"`
	ID CrashID
	// AgeMs is the time since the crash, in milliseconds.
	AgeMs    uint32
	Suspects []Suspect
}

// CrashID identifies a crash in the fleet.
type CrashID struct {
	_        struct{} `codec:",toarray"`
	Upstream messenger.NameHash
	// Process is the start time of the process in Unix milliseconds, or the number of the crash
	// if that is not known.
	Process uint64
}

// Suspect is a prompt part of a request that lost its connection by a crash.
type Suspect struct {
	_       struct{} `codec:",toarray"`
	Part    messenger.ContentID
	Account messenger.NameHash
	// Requests is the number of requests of the account with the part, at the router that lost
	// the most of them.
	Requests uint16
	// Begun is true if the answer to the request had begun.
	Begun bool
	// Cleared is true if an answer with the part had output after the crash was known.
	Cleared bool
	// Confirmed is true if a router found the evidence against the part sufficient.
	Confirmed bool
}

// compareSuspects orders suspects by importance: begun ones first.
func compareSuspects(a, b Suspect) int {
	if a.Begun != b.Begun {
		if a.Begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Account, b.Account))
}

// mergeSuspects returns the union of two lists, sorted, at most maxSuspects of them.
func mergeSuspects(a, b []Suspect) []Suspect {
	merged := slices.Clone(a)
	for _, s := range b {
		i := slices.IndexFunc(merged, func(m Suspect) bool { return m.Part == s.Part && m.Account == s.Account })
		if i < 0 {
			merged = append(merged, s)
			continue
		}
		merged[i].Begun = merged[i].Begun || s.Begun
		merged[i].Cleared = merged[i].Cleared || s.Cleared
		merged[i].Requests = max(merged[i].Requests, s.Requests)
		merged[i].Confirmed = merged[i].Confirmed || s.Confirmed
	}
	slices.SortFunc(merged, compareSuspects)
	return merged[:min(len(merged), maxSuspects)]
}

// allCleared reports whether no suspect is open.
func allCleared(suspects []Suspect) bool {
	return !slices.ContainsFunc(suspects, func(s Suspect) bool { return !s.Cleared })
}

// Message returns all evidence of this router.
func (t *Table) Message(now time.Time) Message {
	var m Message
	for id, c := range t.crashes {
		age := min(max(0, now.Sub(c.at).Milliseconds()), math.MaxUint32)
		m.Crashes = append(m.Crashes, Crash{ID: id, AgeMs: uint32(age), Suspects: slices.Clone(c.suspects)})
	}
	return m
}

// Merge adds the evidence of another router and reports whether any of it was new. Call Update
// afterwards.
func (t *Table) Merge(now time.Time, m Message) bool {
	changed := false
	for _, received := range m.Crashes[:min(len(m.Crashes), maxCrashes)] {
		c := crash{at: now.Add(-time.Duration(received.AgeMs) * time.Millisecond), suspects: received.Suspects}
		if _, known := t.crashes[received.ID]; !known && allCleared(c.suspects) && now.Sub(c.at) > clearedTTL {
			continue // nothing to clear here
		}
		if len(c.suspects) == 0 || now.Sub(c.at) > crashTTL {
			continue
		}
		if t.addSuspects(now, received.ID, c.at, c.suspects) {
			changed = true
		}
	}
	return changed
}

// Checksum returns a checksum of the evidence, without the ages: zero if there is none. Routers
// with the same checksum have nothing to tell each other.
func (t *Table) Checksum() uint64 {
	if !t.checksumValid {
		t.checksum, t.checksumValid = t.sum(), true
	}
	return t.checksum
}

// sum adds up the hashes of the crashes, which needs no order.
func (t *Table) sum() uint64 {
	var total uint64
	for id, c := range t.crashes {
		total += hashCrash(id, c.suspects)
	}
	return total
}

// suspectFlags is the number of bits that flags returns.
const suspectFlags = 3

func (s Suspect) flags() uint64 {
	var flags uint64
	for i, set := range [suspectFlags]bool{s.Begun, s.Cleared, s.Confirmed} {
		if set {
			flags |= 1 << i
		}
	}
	return flags
}

func hashCrash(id CrashID, suspects []Suspect) uint64 {
	var d xxhash.Digest
	d.Reset()
	write := func(v uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = d.Write(b[:]) // never fails
	}
	write(uint64(id.Upstream))
	write(id.Process)
	for _, s := range suspects {
		write(uint64(s.Part))
		write(uint64(s.Account)<<suspectFlags | s.flags())
		write(uint64(s.Requests))
	}
	return d.Sum64()
}
