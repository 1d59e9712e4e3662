package emulator

import (
	"sync"
	"time"
)

// Outcome says how a journalled piece of work ended.
type Outcome string

// The ways in which work ends.
const (
	Running   Outcome = "running"
	Finished  Outcome = "finished"
	Cancelled Outcome = "cancelled"
)

// maxEntries bounds a journal; the oldest half is dropped beyond it.
const maxEntries = 200_000

// Entry is one piece of work that ran.
type Entry struct {
	RequestID string `json:"requestId"`
	// Key is the caller's idempotency key.
	Key string `json:"key,omitempty"`
	// Path is what was asked for.
	Path   string `json:"path"`
	Model  string `json:"model,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// Imported marks a stream that was moved here from another worker.
	Imported bool      `json:"imported,omitempty"`
	Outcome  Outcome   `json:"outcome"`
	Arrived  time.Time `json:"arrived"`
	// Started is when the work got a slot.
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
}

type journal struct {
	mu   sync.Mutex
	list []*Entry
}

func (j *journal) add(e *Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.list) >= maxEntries {
		j.list = append([]*Entry(nil), j.list[maxEntries/2:]...)
	}
	j.list = append(j.list, e)
}

// update changes an entry under the journal's lock.
func (j *journal) update(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

func (j *journal) entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Entry, 0, len(j.list))
	for _, e := range j.list {
		out = append(out, *e)
	}
	return out
}
