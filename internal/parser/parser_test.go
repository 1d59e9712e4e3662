package parser

import (
	"errors"
	"strings"
	"testing"
	"time"
)

type colour string

func (colour) Values() []string { return []string{"red", "blue"} }

type inner struct {
	Address string `json:"address"`
	Port    uint16 `json:"port"`
}

type sample struct {
	Name    string             `json:"name"`
	Count   int                `json:"count"`
	Ratio   float64            `json:"ratio"`
	On      bool               `json:"on"`
	Wait    time.Duration      `json:"wait"`
	Until   time.Time          `json:"until"`
	Colour  colour             `json:"colour"`
	Routers []inner            `json:"routers"`
	Weights map[string]float64 `json:"weights"`
	Extra   *inner             `json:"extra"`
	None    []inner            `json:"none"`
}

func TestDecode(t *testing.T) {
	const text = `{
  // a comment
  "name": "ā", "count": 3, "ratio": 0.5, "on": true,
  "wait": "250ms", "until": "2027-03-31T18:00:00Z", "colour": "red",
  "routers": [{"address": "a"}, {"address": "b", "port": 7}],
  "weights": {"x.y": 2}, "extra": null, "none": null,
}`
	got, findings := Decode[sample]("f", []byte(text))
	if err := findings.Err(); err != nil {
		t.Fatalf("Err() = %v, want nil", err)
	}
	if got.Name != "ā" || got.Count != 3 || got.Ratio != 0.5 || !got.On || got.Colour != "red" {
		t.Errorf("Decode() = %+v, want the written values", got)
	}
	if got.Wait != 250*time.Millisecond || got.Until.Year() != 2027 || got.Routers[1].Port != 7 || got.Weights["x.y"] != 2 {
		t.Errorf("Decode() = %+v, want the written values", got)
	}
	if got, want := findings.Place("routers[1].address").String(), "f:5:45"; got != want {
		t.Errorf("Place(routers[1].address) = %s, want %s", got, want)
	}
	if got, want := findings.Place("routers[0].port").String(), "f:5:15"; got != want {
		t.Errorf("Place of a missing field = %s, want that of its object %s", got, want)
	}
	if got, want := findings.Place(`weights["x.y"].z`).String(), "f:6:22"; got != want {
		t.Errorf("Place below a quoted name = %s, want %s", got, want)
	}
}

func TestDecodeReportsAllFindings(t *testing.T) {
	const text = `{
  "name": 5,
  "shape": "x",
  "count": 1.5,
  "ratio": "much",
  "on": 1,
  "wait": 250,
  "until": "soon",
  "colour": "green",
  "routers": [{"address": "a"}, {"address": null, "port": 70000}],
  "weights": [],
  "name": "twice"
}`
	_, findings := Decode[sample]("f.jsonc", []byte(text))
	want := []string{
		`f.jsonc:2:11: name: is a number; allowed: a string`,
		`f.jsonc:3:3: shape: is not a known field; allowed: one of colour, count,`,
		`f.jsonc:4:12: count: has the value 1.5; allowed: a whole number`,
		`f.jsonc:5:12: ratio: is a string; allowed: a number`,
		`f.jsonc:6:9: on: is a number; allowed: true or false`,
		`f.jsonc:7:11: wait: is a number; allowed: a duration such as "250ms"`,
		`f.jsonc:8:12: until: cannot be read:`,
		`f.jsonc:9:13: colour: has the unknown value "green"; allowed: one of red, blue`,
		`f.jsonc:10:45: routers[1].address: is null; allowed: a string`,
		`f.jsonc:10:59: routers[1].port: has the value 70000; allowed: a whole number from 0 to 65535`,
		`f.jsonc:11:14: weights: is an array; allowed: an object`,
		`f.jsonc:12:3: name: is written more than once; allowed: each field once`,
	}
	all := findings.All()
	if len(all) != len(want) {
		t.Fatalf("got %d findings, want %d:\n%s", len(all), len(want), findings.String())
	}
	for i, f := range all {
		if got := f.String(); !strings.HasPrefix(got, want[i]) {
			t.Errorf("finding %d = %s, want prefix %s", i, got, want[i])
		}
	}
	if !errors.Is(findings.Err(), ErrFindings) {
		t.Errorf("Err() = %v, want ErrFindings", findings.Err())
	}
}

func TestDecodeSyntaxError(t *testing.T) {
	for _, text := range []string{"{\n  \"name\": ,\n}", "", "{", "[1,2", "{\"a\":1}}"} {
		_, findings := Decode[sample]("f", []byte(text))
		if findings.Len() != 1 {
			t.Errorf("Decode(%q) has %d findings, want 1", text, findings.Len())
			continue
		}
		if got := findings.All()[0].Place.Line; got == 0 {
			t.Errorf("Decode(%q): %s, want a line", text, findings.String())
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x", "routers": [{}], "weights": {"": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, findings := Decode[sample]("f", data)
		for _, got := range findings.All() {
			if got.Wrong == "" {
				t.Errorf("finding without a text: %+v", got)
			}
		}
	})
}
