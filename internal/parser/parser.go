// Package parser decodes JSON with comments into typed settings and reports
// everything that is wrong at once.
//
// Every finding names its place in the file, the path of the field, what is
// wrong and what is allowed. Unknown fields, repeated fields and wrong types
// are findings. Places stay available, so that later checks of meaning report
// in the same way.
//
// Durations are strings such as "250ms", times are RFC 3339 strings, and types
// that implement encoding.TextUnmarshaler are strings too. Field names come
// from the json tag.
//
// # Usage
//
//	settings, findings := parser.Decode[Settings]("router.jsonc", data)
//	if settings.Slots < 1 {
//		findings.Add("slots", "is less than 1", "a whole number from 1")
//	}
//	if err := findings.Err(); err != nil { ... }
package parser

import (
	"reflect"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

// Decode parses the content of a file into a T. Fields with findings keep
// their zero value.
func Decode[T any](file string, data []byte) (T, Findings) {
	var v T
	findings := DecodeInto(file, data, &v)
	return v, findings
}

// DecodeInto is Decode into a value that already holds defaults: fields that
// the file does not name are left as they are.
func DecodeInto(file string, data []byte, target any) Findings {
	f := Findings{file: file, places: map[string]Place{}}
	lines := newLineIndex(file, data)
	tree, err := hujson.Parse(data)
	if err != nil {
		f.list = append(f.list, syntaxFinding(file, err))
		return f
	}
	d := decoder{lines: lines, findings: &f}
	d.value("", tree, reflect.ValueOf(target).Elem())
	return f
}

// syntaxPattern matches the place in the messages of hujson.
var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxFinding(file string, err error) Finding {
	finding := Finding{Place: Place{File: file}, Wrong: err.Error(), Allowed: "JSON with comments and trailing commas"}
	m := syntaxPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return finding
	}
	finding.Place.Line, _ = strconv.Atoi(m[1])
	finding.Place.Column, _ = strconv.Atoi(m[2])
	finding.Wrong = m[3]
	return finding
}
