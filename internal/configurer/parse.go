package configurer

import (
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Parse decodes a document in JSON with comments and checks it. The error holds all
// Findings together.
func Parse(data []byte) (*Document, error) {
	std, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return nil, Findings{{Path: "document", Text: err.Error()}}
	}
	var tree any
	if err := json.Unmarshal(std, &tree); err != nil {
		return nil, Findings{{Path: "document", Text: err.Error()}}
	}
	var findings Findings
	findings.checkShape("document", tree, reflect.TypeFor[Document]())
	if err := findings.err(); err != nil {
		return nil, err
	}
	doc := new(Document)
	if err := json.Unmarshal(std, doc); err != nil {
		return nil, Findings{{Path: "document", Text: err.Error()}}
	}
	if err := Check(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// checkShape reports unknown fields and values of the wrong type.
func (f *Findings) checkShape(path string, v any, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		f.checkText(path, v, u)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		f.checkObject(path, v, func(key string) (reflect.Type, bool) { return fieldType(t, key) })
	case reflect.Map:
		f.checkObject(path, v, func(string) (reflect.Type, bool) { return t.Elem(), true })
	case reflect.Slice:
		f.checkList(path, v, t.Elem())
	default:
		f.checkScalar(path, v, t.Kind())
	}
}

func (f *Findings) checkText(path string, v any, u encoding.TextUnmarshaler) {
	s, ok := v.(string)
	if !ok {
		f.add(path, "want a text")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		f.add(path, err.Error())
	}
}

func (f *Findings) checkObject(path string, v any, typeOf func(key string) (reflect.Type, bool)) {
	m, ok := v.(map[string]any)
	if !ok {
		f.add(path, "want an object")
		return
	}
	for _, key := range sortedKeys(m) {
		t, ok := typeOf(key)
		if !ok {
			f.add(join(path, key), "unknown field")
			continue
		}
		f.checkShape(join(path, key), m[key], t)
	}
}

func (f *Findings) checkList(path string, v any, t reflect.Type) {
	list, ok := v.([]any)
	if !ok {
		f.add(path, "want a list")
		return
	}
	for i, e := range list {
		f.checkShape(fmt.Sprintf("%s[%d]", path, i), e, t)
	}
}

func (f *Findings) checkScalar(path string, v any, kind reflect.Kind) {
	n, isNumber := v.(float64)
	ok, want := false, ""
	switch kind {
	case reflect.String:
		_, ok = v.(string)
		want = "want a text"
	case reflect.Bool:
		_, ok = v.(bool)
		want = "want true or false"
	case reflect.Int, reflect.Uint64:
		ok = isNumber && n == math.Trunc(n) && n >= 0
		want = "want a whole number, 0 or more"
	default:
		ok, want = isNumber, "want a number"
	}
	if !ok {
		f.add(path, want)
	}
}

// fieldType returns the type of the field of t whose JSON name is key.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func join(path, key string) string {
	if path == "document" {
		return key
	}
	return path + "." + key
}
