package parser

import (
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType  = reflect.TypeFor[time.Duration]()
	rawType       = reflect.TypeFor[json.RawMessage]()
	unmarshalType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Enumerator is implemented by string types of which only some values are
// allowed.
type Enumerator interface {
	// Values returns the values that are allowed.
	Values() []string
}

// decoder walks a syntax tree and a Go value side by side.
type decoder struct {
	lines    *lineIndex
	findings *Findings
}

func (d *decoder) value(path string, v hujson.Value, target reflect.Value) {
	d.findings.places[path] = d.lines.place(v.StartOffset)
	t := target.Type()
	switch {
	case isNull(v) && mayBeNull(t):
		target.SetZero()
	case t == durationType:
		d.duration(path, v, target)
	case t == rawType:
		d.raw(v, target)
	case reflect.PointerTo(t).Implements(unmarshalType):
		d.text(path, v, target)
	default:
		d.kind(path, v, target)
	}
}

func (d *decoder) kind(path string, v hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.value(path, v, target.Elem())
	case reflect.Struct:
		d.object(path, v, target)
	case reflect.Map:
		d.mapping(path, v, target)
	case reflect.Slice:
		d.array(path, v, target)
	case reflect.String:
		d.str(path, v, target)
	case reflect.Bool:
		d.boolean(path, v, target)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.integer(path, v, target)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.unsigned(path, v, target)
	case reflect.Float32, reflect.Float64:
		d.float(path, v, target)
	default:
		panic(fmt.Sprintf("parser: settings of type %s are not supported", target.Type()))
	}
}

func (d *decoder) object(path string, v hujson.Value, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := Join(path, name)
		index, known := fields[name]
		if !known {
			d.findings.places[at] = d.lines.place(m.Name.StartOffset)
			d.findings.Add(at, "is not a known field", "one of "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		if seen[name] {
			d.repeated(at, m.Name)
			continue
		}
		seen[name] = true
		d.value(at, m.Value, target.FieldByIndex(index))
	}
}

func (d *decoder) mapping(path string, v hujson.Value, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	t := target.Type()
	out := reflect.MakeMapWithSize(t, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := Join(path, name)
		key := reflect.ValueOf(name).Convert(t.Key())
		if out.MapIndex(key).IsValid() {
			d.repeated(at, m.Name)
			continue
		}
		elem := reflect.New(t.Elem()).Elem()
		d.value(at, m.Value, elem)
		out.SetMapIndex(key, elem)
	}
	target.Set(out)
}

// repeated reports the second place of a field that is written twice.
func (d *decoder) repeated(path string, name hujson.Value) {
	d.findings.list = append(d.findings.list, Finding{
		Place:   d.lines.place(name.StartOffset),
		Path:    path,
		Wrong:   "is written more than once",
		Allowed: "each field once",
	})
}

func (d *decoder) array(path string, v hujson.Value, target reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "an array")
		return
	}
	out := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.value(Index(path, i), e, out.Index(i))
	}
	target.Set(out)
}

func (d *decoder) str(path string, v hujson.Value, target reflect.Value) {
	s, ok := stringOf(v)
	enum, isEnum := target.Interface().(Enumerator)
	if !ok {
		want := "a string"
		if isEnum {
			want = "one of " + strings.Join(enum.Values(), ", ")
		}
		d.wrongType(path, v, want)
		return
	}
	if isEnum && !contains(enum.Values(), s) {
		d.findings.Add(path, fmt.Sprintf("has the unknown value %q", s), "one of "+strings.Join(enum.Values(), ", "))
		return
	}
	target.SetString(s)
}

func (d *decoder) boolean(path string, v hujson.Value, target reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		d.wrongType(path, v, "true or false")
		return
	}
	target.SetBool(lit.Bool())
}

func (d *decoder) integer(path string, v hujson.Value, target reflect.Value) {
	bits := target.Type().Bits()
	lowest, highest := int64(math.MinInt64)>>(64-bits), int64(math.MaxInt64)>>(64-bits)
	want := fmt.Sprintf("a whole number from %d to %d", lowest, highest)
	lit, ok := numberOf(v)
	if !ok {
		d.wrongType(path, v, want)
		return
	}
	n, err := strconv.ParseInt(lit, 10, bits)
	if err != nil {
		d.findings.Add(path, fmt.Sprintf("has the value %s", lit), want)
		return
	}
	target.SetInt(n)
}

func (d *decoder) unsigned(path string, v hujson.Value, target reflect.Value) {
	bits := target.Type().Bits()
	want := fmt.Sprintf("a whole number from 0 to %d", uint64(math.MaxUint64)>>(64-bits))
	lit, ok := numberOf(v)
	if !ok {
		d.wrongType(path, v, want)
		return
	}
	n, err := strconv.ParseUint(lit, 10, bits)
	if err != nil {
		d.findings.Add(path, fmt.Sprintf("has the value %s", lit), want)
		return
	}
	target.SetUint(n)
}

func (d *decoder) float(path string, v hujson.Value, target reflect.Value) {
	lit, ok := numberOf(v)
	if !ok {
		d.wrongType(path, v, "a number")
		return
	}
	n, err := strconv.ParseFloat(lit, target.Type().Bits())
	if err != nil {
		d.findings.Add(path, fmt.Sprintf("has the value %s", lit), "a number of ordinary size")
		return
	}
	target.SetFloat(n)
}

func (d *decoder) duration(path string, v hujson.Value, target reflect.Value) {
	const want = `a duration such as "250ms", "5s" or "1h30m"`
	s, ok := stringOf(v)
	if !ok {
		d.wrongType(path, v, want)
		return
	}
	n, err := time.ParseDuration(s)
	if err != nil {
		d.findings.Add(path, fmt.Sprintf("has the value %q", s), want)
		return
	}
	target.SetInt(int64(n))
}

func (d *decoder) text(path string, v hujson.Value, target reflect.Value) {
	want := "a string"
	if target.Type() == reflect.TypeFor[time.Time]() {
		want = `a time such as "2027-03-31T18:00:00Z"`
	}
	s, ok := stringOf(v)
	if !ok {
		d.wrongType(path, v, want)
		return
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
		d.findings.Add(path, "cannot be read: "+err.Error(), want)
	}
}

func (d *decoder) raw(v hujson.Value, target reflect.Value) {
	plain := v.Clone()
	plain.Minimize()
	target.SetBytes(plain.Pack())
}

func (d *decoder) wrongType(path string, v hujson.Value, want string) {
	d.findings.Add(path, "is "+describe(v), want)
}

// describe names the type of a value in a finding.
func describe(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}

// mayBeNull reports whether null stands for "none" in a field of type t.
func mayBeNull(t reflect.Type) bool {
	return t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map
}

func isNull(v hujson.Value) bool { return v.Value.Kind() == 'n' }

func stringOf(v hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

func numberOf(v hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return "", false
	}
	return string(lit), true
}

// fieldsOf returns the settings of a struct by name, embedded ones included.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || f.Anonymous && name == "" || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Index
	}
	return fields
}

func sortedNames(fields map[string][]int) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}
