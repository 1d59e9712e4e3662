package configurer

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// fieldValues returns the fields of a scope; empty fields do not restrict it.
func (s Scope) fieldValues() []string {
	return []string{string(s.Account), string(s.Class), string(s.Pool), string(s.Upstream), string(s.Router), s.Domain}
}

// NarrowedFieldCount returns how many fields restrict the scope.
func (s Scope) NarrowedFieldCount() int {
	n := 0
	for _, p := range s.fieldValues() {
		if p != "" {
			n++
		}
	}
	return n
}

// overlaps reports whether the two scopes may have something in common.
func (s Scope) overlaps(o Scope) bool {
	otherValues := o.fieldValues()
	for i, p := range s.fieldValues() {
		if p != "" && otherValues[i] != "" && p != otherValues[i] {
			return false
		}
	}
	return true
}

// exceptionOrder returns the ids of the exceptions in the order in which they apply,
// from the widest scope to the narrowest.
func (d *Document) exceptionOrder() []string {
	ids := sortedKeys(d.Exceptions)
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(d.Exceptions[a].Scope.NarrowedFieldCount(), d.Exceptions[b].Scope.NarrowedFieldCount())
	})
	return ids
}

// checkOverlaps reports exceptions that change the same field of the same object while
// neither scope is narrower, because only one of the two would take effect.
func (f *Findings) checkOverlaps(d *Document) {
	ids := sortedKeys(d.Exceptions)
	for i, id := range ids {
		e := d.Exceptions[id]
		for _, other := range ids[:i] {
			o := d.Exceptions[other]
			if e.Scope.NarrowedFieldCount() != o.Scope.NarrowedFieldCount() || !e.Scope.overlaps(o.Scope) {
				continue
			}
			for _, field := range commonFields(e, o) {
				f.add(join("exceptions", id)+"."+field, "already changed by the exception "+quote(other)+", whose scope is as wide")
			}
		}
	}
}

func commonFields(a, b Exception) []string {
	fields, otherFields := a.Fields(), b.Fields()
	maps.DeleteFunc(fields, func(name string, _ bool) bool { return !otherFields[name] })
	return slices.Sorted(maps.Keys(fields))
}

// Fields returns the names of the fields that an exception changes, such as
// "account.weight".
func (e Exception) Fields() map[string]bool {
	names := make(map[string]bool)
	addFields(names, "account", e.Account)
	addFields(names, "class", e.Class)
	addFields(names, "pool", e.Pool)
	addFields(names, "upstream", e.Upstream)
	return names
}

func addFields[T any](names map[string]bool, section string, settings *T) {
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		panic(err) // unreachable: settings are encoded as objects
	}
	for name := range fields {
		names[section+"."+name] = true
	}
}
