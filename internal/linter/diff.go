package linter

import (
	"encoding/json"
	"reflect"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/parser"
)

// Difference is a field whose value differs between two documents. Tokens are
// replaced by a fixed text in both values.
type Difference struct {
	Path string `json:"path"`
	// Old is nil if the field was added, New is nil if it was removed.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == nil:
		return d.Path + ": added " + string(d.New)
	case d.New == nil:
		return d.Path + ": removed " + string(d.Old)
	case string(d.Old) == string(d.New):
		return d.Path + ": changed, values are not shown"
	default:
		return d.Path + ": changed from " + string(d.Old) + " to " + string(d.New)
	}
}

// Diff returns the differences in the order of their paths. Routes are compared
// by their position; kind and version are left out.
func Diff(from, to *configurer.Document) []Difference {
	return diff(nil, "", tree(*from), tree(*to))
}

// hidden is a value that is compared but never encoded.
type hidden struct{ value any }

// MarshalJSON returns a fixed text.
func (hidden) MarshalJSON() ([]byte, error) { return []byte(`"(not shown)"`), nil }

func tree(d configurer.Document) any {
	d.Kind, d.Version = "", 0
	var v any
	if err := json.Unmarshal(d.JSON(), &v); err != nil {
		panic(err) // unreachable: the document was encoded just now
	}
	hideTokens(v)
	return v
}

// hideTokens replaces every list named "tokens"; only accounts have one.
func hideTokens(v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, member := range v {
			if list, ok := member.([]any); ok && key == "tokens" {
				v[key] = hidden{list}
				continue
			}
			hideTokens(member)
		}
	case []any:
		for _, e := range v {
			hideTokens(e)
		}
	}
}

func diff(list []Difference, path string, from, to any) []Difference {
	if reflect.DeepEqual(from, to) {
		return list
	}
	oldMap, okOld := from.(map[string]any)
	newMap, okNew := to.(map[string]any)
	if okOld && okNew {
		return diffMaps(list, path, oldMap, newMap)
	}
	oldList, okOld := from.([]any)
	newList, okNew := to.([]any)
	if okOld && okNew {
		for i := range max(len(oldList), len(newList)) {
			list = diff(list, parser.Index(path, i), element(oldList, i), element(newList, i))
		}
		return list
	}
	return append(list, Difference{Path: path, Old: encode(from), New: encode(to)})
}

func diffMaps(list []Difference, path string, from, to map[string]any) []Difference {
	keys := make(map[string]bool)
	for key := range from {
		keys[key] = true
	}
	for key := range to {
		keys[key] = true
	}
	for _, key := range sortedKeys(keys) {
		list = diff(list, parser.Join(path, key), from[key], to[key])
	}
	return list
}

func element(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return nil
}

// encode returns nil for a value that is not there.
func encode(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: the value was decoded from JSON
	}
	return data
}
