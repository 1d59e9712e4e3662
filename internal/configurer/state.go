package configurer

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
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
	// Sum is the checksum of the document as it is after the change.
	Sum uint64 `json:"sum,string"`
}

// Update brings a router from one version to a newer one, by revisions or by
// the whole document.
type Update struct {
	// Version is the version that the update leads to.
	Version uint64 `json:"version"`
	// Whole is the document in full, or empty where Revisions are enough.
	Whole Entries `json:"whole,omitempty"`
	// Revisions follow one another, the last one leading to Version.
	Revisions []Revision `json:"revisions,omitempty"`
	// Sum is the checksum of Whole.
	Sum uint64 `json:"sum,string"`
	// Cursor is the version of the table up to which it was read; zero in
	// updates from peers.
	Cursor uint64 `json:"-"`
}

// keptRevisions is how many of the newest revisions a router keeps for peers
// that are a little behind.
const keptRevisions = 64

// State is the configuration at one version. It never changes; newer versions
// are new states.
type State struct {
	version uint64
	cursor  uint64
	sum     uint64
	entries Entries
	doc     *Document
	recent  []Revision
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
	if len(u.Whole) > 0 && u.Version-uint64(len(u.Revisions)) > next.version {
		next.version = u.Version - uint64(len(u.Revisions))
		next.entries = maps.Clone(u.Whole)
		next.sum = sumOf(u.Whole)
		next.recent = nil
		if next.sum != u.Sum {
			return s, merry.Prependf(ErrGap, "checksum of version %d differs", next.version)
		}
	}
	for _, r := range u.Revisions {
		if r.Version <= next.version {
			continue
		}
		if r.Version != next.version+1 {
			return s, merry.Prependf(ErrGap, "have version %d, got %d", next.version, r.Version)
		}
		next.advance(r)
		if next.sum != r.Sum {
			return s, merry.Prependf(ErrGap, "checksum of version %d differs", r.Version)
		}
	}
	if next.version == s.Version() {
		return &next, nil
	}
	doc, err := documentOf(next.entries, next.version)
	if err != nil {
		return s, err
	}
	next.doc = doc
	return &next, nil
}

// advance applies one revision.
func (s *State) advance(r Revision) {
	s.entries = maps.Clone(s.entries)
	if s.entries == nil {
		s.entries = make(Entries)
	}
	for key, value := range r.Changes {
		if old, ok := s.entries[key]; ok {
			s.sum -= entrySum(key, old)
			delete(s.entries, key)
		}
		if value != nil && string(value) != noValue {
			s.entries[key] = value
			s.sum += entrySum(key, value)
		}
	}
	s.version = r.Version
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], r)
	if len(s.recent) > keptRevisions {
		s.recent = s.recent[len(s.recent)-keptRevisions:]
	}
}

// Since returns the update that leads from a version to this state.
func (s *State) Since(version uint64) Update {
	u := Update{Version: s.Version()}
	if s == nil || version >= s.version {
		return u
	}
	if len(s.recent) > 0 && s.recent[0].Version <= version+1 {
		u.Revisions = s.recent[version+1-s.recent[0].Version:]
		return u
	}
	u.Whole, u.Sum = s.entries, s.sum
	return u
}

// sumOf adds up the entries, so that the order of entries does not matter and
// a change costs only its own entries.
func sumOf(e Entries) uint64 {
	var sum uint64
	for key, value := range e {
		sum += entrySum(key, value)
	}
	return sum
}

func entrySum(key string, value json.RawMessage) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// entriesOf takes a document apart.
func entriesOf(d *Document) Entries {
	e := make(Entries)
	put(e, "timeZone", d.TimeZone)
	put(e, "account", d.Account)
	put(e, "routes", d.Routes)
	putAll(e, "accounts", d.Accounts)
	putAll(e, "classes", d.Classes)
	putAll(e, "pools", d.Pools)
	putAll(e, "upstreams", d.Upstreams)
	putAll(e, "exceptions", d.Exceptions)
	return e
}

// noValue is how an entry that is removed is written.
const noValue = "null"

// put adds an entry, unless its value is empty.
func put(e Entries, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // every field can be written
	}
	if string(data) == noValue {
		return
	}
	e[key] = data
}

func putAll[K ~string, V any](e Entries, section string, values map[K]V) {
	for name, v := range values {
		put(e, section+"/"+string(name), v)
	}
}

// documentOf puts a document together from its entries. Sections that this
// release does not know are left out.
func documentOf(e Entries, version uint64) (*Document, error) {
	d := &Document{
		Version:    version,
		Accounts:   make(map[messenger.AccountID]AccountSettings),
		Classes:    make(map[messenger.ClassID]ClassSettings),
		Pools:      make(map[messenger.PoolID]PoolSettings),
		Upstreams:  make(map[messenger.UpstreamID]UpstreamSettings),
		Exceptions: make(map[string]Exception),
	}
	for key, value := range e {
		if err := d.set(key, value); err != nil {
			return nil, merry.Prependf(err, "entry %s of version %d", key, version)
		}
	}
	d.index()
	return d, nil
}

func (d *Document) set(key string, value json.RawMessage) error {
	section, name, _ := strings.Cut(key, "/")
	switch section {
	case "timeZone":
		return json.Unmarshal(value, &d.TimeZone)
	case "account":
		return json.Unmarshal(value, &d.Account)
	case "routes":
		return json.Unmarshal(value, &d.Routes)
	case "accounts":
		return setEntry(d.Accounts, messenger.AccountID(name), value)
	case "classes":
		return setEntry(d.Classes, messenger.ClassID(name), value)
	case "pools":
		return setEntry(d.Pools, messenger.PoolID(name), value)
	case "upstreams":
		return setEntry(d.Upstreams, messenger.UpstreamID(name), value)
	case "exceptions":
		return setEntry(d.Exceptions, name, value)
	}
	return nil
}

func setEntry[K comparable, V any](m map[K]V, name K, value json.RawMessage) error {
	var v V
	err := json.Unmarshal(value, &v)
	m[name] = v
	return err
}

// diff returns the changes that lead from one document's entries to another's.
func diff(from, to Entries) Entries {
	changes := make(Entries)
	for key, value := range to {
		if string(from[key]) != string(value) {
			changes[key] = value
		}
	}
	for key := range from {
		if _, ok := to[key]; !ok {
			changes[key] = nil
		}
	}
	return changes
}
