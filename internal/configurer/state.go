package configurer

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"
)

// Entries is a document split into entries that change independently, so that a change
// of one client account among thousands is sent as one entry. The key is a section
// ("routes") or a section and a name ("accounts/riga-1"). In a list of changes a nil
// value removes the entry.
type Entries map[string]json.RawMessage

// Revision is one committed change, from the preceding version to Version.
type Revision struct {
	Version uint64 `json:"version"`
	// Token is a random text that is unique to each attempt to commit.
	Token   string    `json:"token"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason"`
	Time    time.Time `json:"time"`
	Changes Entries   `json:"changes,omitempty"`
	// Object names the object that holds the changes if they are too large for a row.
	Object string `json:"object,omitempty"`
	// Checksum is the checksum of the document as it is after the change.
	Checksum uint64 `json:"sum,string"`
}

// Update takes a router from one version to a newer one, either by revisions or by the
// complete document.
type Update struct {
	// Version is the version that the update leads to.
	Version uint64 `json:"version"`
	// AllEntries is the complete document, or empty if Revisions are sufficient.
	AllEntries Entries `json:"whole,omitempty"`
	// Revisions are consecutive; the last one leads to Version.
	Revisions []Revision `json:"revisions,omitempty"`
	// Checksum is the checksum of AllEntries.
	Checksum uint64 `json:"sum,string"`
	// Cursor is the version of the table up to which it was read. It is zero in
	// updates from peers.
	Cursor uint64 `json:"-"`
}

// maxRecentRevisions is how many of the newest revisions a router keeps, for peers that
// are a few versions behind.
const maxRecentRevisions = 64

// State is the configuration at one version. It is immutable.
type State struct {
	version         uint64
	cursor          uint64
	checksum        uint64
	entries         Entries
	doc             *Document
	recentRevisions []Revision
}

// ErrGap means that an update does not follow the current version, or that its checksum
// does not match.
var ErrGap = merry.Sentinel("update does not follow the current version")

// Version returns the version, or 0 for the state before any configuration.
func (s *State) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Document returns the document, or nil before any configuration.
func (s *State) Document() *Document {
	if s == nil {
		return nil
	}
	return s.doc
}

// Apply returns the state after an update. An update that is not newer leaves the
// version and the document unchanged, so that a state never goes back.
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
		next.recentRevisions = nil
		if next.checksum != u.Checksum {
			return s, merry.Prependf(ErrGap, "checksum mismatch at version %d", next.version)
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
			return s, merry.Prependf(ErrGap, "checksum mismatch at version %d", r.Version)
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

// buildDocument builds the document of a state. If only some entries have changed, it
// reuses the document of the previous state.
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
	s.recentRevisions = append(s.recentRevisions[:len(s.recentRevisions):len(s.recentRevisions)], r)
	if len(s.recentRevisions) > maxRecentRevisions {
		s.recentRevisions = s.recentRevisions[len(s.recentRevisions)-maxRecentRevisions:]
	}
}

// UpdateSince returns the update from a version to this state.
func (s *State) UpdateSince(version uint64) Update {
	u := Update{Version: s.Version()}
	if s == nil || version >= s.version {
		return u
	}
	if len(s.recentRevisions) > 0 && s.recentRevisions[0].Version <= version+1 {
		u.Revisions = s.recentRevisions[version+1-s.recentRevisions[0].Version:]
		return u
	}
	u.AllEntries, u.Checksum = s.entries, s.checksum
	return u
}
