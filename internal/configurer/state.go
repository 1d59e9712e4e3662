package configurer

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"
)

// Entries is a document taken apart into entries that change one by one, so
// that a change of one client account among thousands travels as one entry.
// The key is a section ("routes") or a section and a name ("accounts/riga-1").
// In a list of changes a nil value removes the entry.
type Entries map[string]json.RawMessage

// Revision is one accepted change: it leads from the version before it to
// Version.
type Revision struct {
	Version uint64 `json:"version"`
	// Token is random and unlike that of any other attempt.
	Token   string    `json:"token"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason"`
	Time    time.Time `json:"time"`
	Changes Entries   `json:"changes,omitempty"`
	// Object names the object that holds Changes where they are long.
	Object string `json:"object,omitempty"`
	// Checksum is the checksum of the document as it is after the change.
	Checksum uint64 `json:"sum,string"`
}

// Update brings a router from one version to a newer one, by revisions or by
// the whole document.
type Update struct {
	// Version is the version that the update leads to.
	Version uint64 `json:"version"`
	// AllEntries is the document in full, or empty where Revisions are enough.
	AllEntries Entries `json:"whole,omitempty"`
	// Revisions follow one another, the last one leading to Version.
	Revisions []Revision `json:"revisions,omitempty"`
	// Checksum is the checksum of AllEntries.
	Checksum uint64 `json:"sum,string"`
	// Cursor is the version of the table up to which it was read; zero in
	// updates from peers.
	Cursor uint64 `json:"-"`
}

// maxRecentRevisions is how many of the newest revisions a router keeps for peers
// that are a little behind.
const maxRecentRevisions = 64

// State is the configuration at one version. It never changes; newer versions
// are new states.
type State struct {
	version  uint64
	cursor   uint64
	checksum uint64
	entries  Entries
	doc      *Document
	recent   []Revision
}

// ErrGap means that an update does not lead on from the version at hand.
var ErrGap = merry.Sentinel("update does not follow the version at hand")

// Version returns the version, 0 for the state before any configuration.
func (s *State) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Document returns the document, nil before any configuration.
func (s *State) Document() *Document {
	if s == nil {
		return nil
	}
	return s.doc
}

// Apply returns the state after an update. An update that is not newer leaves
// the state as it is, so that a state never goes back.
func (s *State) Apply(u Update) (*State, error) {
	next := State{}
	if s != nil {
		next = *s
	}
	next.cursor = max(next.cursor, u.Cursor)
	replacesAll := len(u.AllEntries) > 0 && u.Version-uint64(len(u.Revisions)) > next.version
	if replacesAll {
		next.version = u.Version - uint64(len(u.Revisions))
		next.entries = maps.Clone(u.AllEntries)
		next.checksum = checksum(u.AllEntries)
		next.recent = nil
		if next.checksum != u.Checksum {
			return s, merry.Prependf(ErrGap, "checksum of version %d differs", next.version)
		}
	}
	changes := make(Entries)
	for _, r := range u.Revisions {
		if r.Version <= next.version {
			continue
		}
		if r.Version != next.version+1 {
			return s, merry.Prependf(ErrGap, "have version %d, got %d", next.version, r.Version)
		}
		next.applyRevision(r)
		maps.Copy(changes, r.Changes)
		if next.checksum != r.Checksum {
			return s, merry.Prependf(ErrGap, "checksum of version %d differs", r.Version)
		}
	}
	if next.version == s.Version() {
		return &next, nil
	}
	doc, err := next.buildDocument(s, replacesAll, changes)
	if err != nil {
		return s, err
	}
	next.doc = doc
	return &next, nil
}

// buildDocument puts the buildDocument of a state together, from that of an earlier one
// where only some entries have changed.
func (s *State) buildDocument(previous *State, replacesAll bool, changes Entries) (*Document, error) {
	if replacesAll || previous.Document() == nil {
		return documentOf(s.entries, s.version)
	}
	return previous.doc.withChanges(changes, s.version)
}

// applyRevision applies one revision.
func (s *State) applyRevision(r Revision) {
	s.entries = maps.Clone(s.entries)
	if s.entries == nil {
		s.entries = make(Entries)
	}
	for key, value := range r.Changes {
		if old, ok := s.entries[key]; ok {
			s.checksum -= entryChecksum(key, old)
			delete(s.entries, key)
		}
		if !isRemoval(value) {
			s.entries[key] = value
			s.checksum += entryChecksum(key, value)
		}
	}
	s.version = r.Version
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], r)
	if len(s.recent) > maxRecentRevisions {
		s.recent = s.recent[len(s.recent)-maxRecentRevisions:]
	}
}

// UpdateSince returns the update that leads from a version to this state.
func (s *State) UpdateSince(version uint64) Update {
	u := Update{Version: s.Version()}
	if s == nil || version >= s.version {
		return u
	}
	if len(s.recent) > 0 && s.recent[0].Version <= version+1 {
		u.Revisions = s.recent[version+1-s.recent[0].Version:]
		return u
	}
	u.AllEntries, u.Checksum = s.entries, s.checksum
	return u
}
