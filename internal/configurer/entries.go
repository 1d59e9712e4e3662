package configurer

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// checksum returns the sum of the checksums of the entries. It does not depend on
// their order, and a change needs to compute only the entries that it changes.
func checksum(e Entries) uint64 {
	var sum uint64
	for key, value := range e {
		sum += entryChecksum(key, value)
	}
	return sum
}

func entryChecksum(key string, value json.RawMessage) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// entriesOf splits a document into entries.
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

// removalValue is the encoding of a removed entry.
const removalValue = "null"

// isRemoval reports whether a change removes its entry.
func isRemoval(value json.RawMessage) bool { return value == nil || string(value) == removalValue }

// put adds an entry, unless its value is encoded as null.
func put(e Entries, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	if string(data) == removalValue {
		return
	}
	e[key] = data
}

func putAll[K ~string, V any](e Entries, section string, values map[K]V) {
	for name, v := range values {
		put(e, section+"/"+string(name), v)
	}
}

// documentOf builds a document from its entries.
func documentOf(e Entries, version uint64) (*Document, error) {
	d := &Document{
		Version:    version,
		Accounts:   make(map[messenger.AccountID]AccountSettings),
		Classes:    make(map[messenger.ClassID]ClassSettings),
		Pools:      make(map[messenger.PoolID]PoolSettings),
		Upstreams:  make(map[messenger.UpstreamID]UpstreamSettings),
		Exceptions: make(map[string]Exception),
	}
	if err := d.setAll(e); err != nil {
		return nil, err
	}
	return d, nil
}

// withChanges returns the document with some entries changed. Sections without
// changes are shared with d.
func (d *Document) withChanges(changes Entries, version uint64) (*Document, error) {
	out := *d
	out.Version = version
	sections := make(map[string]bool)
	for key := range changes {
		section, _, _ := strings.Cut(key, "/")
		sections[section] = true
	}
	out.cloneSections(sections)
	if err := out.setAll(changes); err != nil {
		return nil, err
	}
	return &out, nil
}

// cloneSections copies the sections that are about to change.
func (d *Document) cloneSections(sections map[string]bool) {
	if sections["accounts"] {
		d.Accounts = maps.Clone(d.Accounts)
	}
	if sections["classes"] {
		d.Classes = maps.Clone(d.Classes)
	}
	if sections["pools"] {
		d.Pools = maps.Clone(d.Pools)
	}
	if sections["upstreams"] {
		d.Upstreams = maps.Clone(d.Upstreams)
	}
	if sections["exceptions"] {
		d.Exceptions = maps.Clone(d.Exceptions)
	}
}

// setAll sets or removes entries. Sections unknown to this release are ignored.
func (d *Document) setAll(e Entries) error {
	for key, value := range e {
		if err := d.set(key, value); err != nil {
			return merry.Prependf(err, "entry %s of version %d", key, d.Version)
		}
	}
	return nil
}

func (d *Document) set(key string, value json.RawMessage) error {
	section, name, _ := strings.Cut(key, "/")
	switch section {
	case "timeZone":
		return setField(&d.TimeZone, value)
	case "account":
		return setField(&d.Account, value)
	case "routes":
		return setField(&d.Routes, value)
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

// setField decodes an entry into a new value. The earlier value may be shared with
// other documents and is neither reused nor modified.
func setField[T any](field *T, value json.RawMessage) error {
	var v T
	*field = v
	if isRemoval(value) {
		return nil
	}
	err := json.Unmarshal(value, &v)
	*field = v
	return err
}

func setEntry[K comparable, V any](m map[K]V, name K, value json.RawMessage) error {
	if isRemoval(value) {
		delete(m, name)
		return nil
	}
	var v V
	err := json.Unmarshal(value, &v)
	m[name] = v
	return err
}

// diff returns the changes from one set of entries to another.
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
