package parser

import (
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// ErrFindings is the sentinel of the error that Findings.Err returns.
var ErrFindings = merry.Sentinel("the file has findings")

// Place is a position in a file. Line and Column count characters from 1; both
// are 0 where only the file is known.
type Place struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns file:line:column.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one thing that is wrong with a file.
type Finding struct {
	Place Place `json:"place"`
	// Path is the field, such as "routers[2].address"; empty for the file.
	Path string `json:"path,omitempty"`
	// Wrong says what is wrong.
	Wrong string `json:"wrong"`
	// Allowed says what is allowed instead.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.Place.String())
	b.WriteString(": ")
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Wrong)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Findings collects what is wrong with one file and knows the place of every
// field in it. Its zero value is an empty collection without places.
type Findings struct {
	file   string
	places map[string]Place
	list   []Finding
}

// Add records a finding for the field at path. The place is that of the field
// or, where it is missing, of the nearest enclosing one.
func (f *Findings) Add(path, wrong, allowed string) {
	f.list = append(f.list, Finding{Place: f.Place(path), Path: path, Wrong: wrong, Allowed: allowed})
}

// Has reports whether the field at path is written in the file.
func (f *Findings) Has(path string) bool {
	_, ok := f.places[path]
	return ok
}

// Place returns where the field at path stands, or else the nearest field
// around it.
func (f *Findings) Place(path string) Place {
	for {
		if p, ok := f.places[path]; ok {
			return p
		}
		if path == "" {
			return Place{File: f.file}
		}
		path = parentPath(path)
	}
}

// Reported reports whether there is a finding for the field at path.
func (f *Findings) Reported(path string) bool {
	for _, finding := range f.list {
		if finding.Path == path {
			return true
		}
	}
	return false
}

// Len returns the number of findings.
func (f *Findings) Len() int { return len(f.list) }

// All returns the findings sorted by place.
func (f *Findings) All() []Finding {
	sorted := append([]Finding(nil), f.list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].Place, sorted[j].Place
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// String returns the findings, one a line.
func (f *Findings) String() string {
	lines := make([]string, 0, len(f.list))
	for _, finding := range f.All() {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no findings, and otherwise an error that lists
// them all.
func (f *Findings) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return merry.Wrap(ErrFindings, merry.WithMessage(f.String()))
}

// Join returns the path of the member name of the object at path.
func Join(path, name string) string {
	if strings.ContainsAny(name, `.[]"`) || name == "" {
		return fmt.Sprintf("%s[%q]", path, name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of element i of the array at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// parentPath returns the path of the object or array around path.
func parentPath(path string) string {
	if strings.HasSuffix(path, `"]`) {
		if i := strings.LastIndex(path, `["`); i >= 0 {
			return path[:i]
		}
	}
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// lineIndex finds lines and columns of byte offsets.
type lineIndex struct {
	file   string
	data   []byte
	starts []int
}

func newLineIndex(file string, data []byte) *lineIndex {
	x := &lineIndex{file: file, data: data, starts: []int{0}}
	for i, c := range data {
		if c == '\n' {
			x.starts = append(x.starts, i+1)
		}
	}
	return x
}

func (x *lineIndex) place(offset int) Place {
	line := sort.SearchInts(x.starts, offset+1) - 1
	column := utf8.RuneCount(x.data[x.starts[line]:offset]) + 1
	return Place{File: x.file, Line: line + 1, Column: column}
}

// FileFinding returns a collection with one finding that concerns the file as
// a whole.
func FileFinding(file, wrong, allowed string) Findings {
	f := Findings{file: file}
	f.Add("", wrong, allowed)
	return f
}

// Only returns the findings for the field at path and those for the file as a
// whole, with all places.
func (f *Findings) Only(path string) Findings {
	kept := Findings{file: f.file, places: f.places}
	for _, finding := range f.list {
		if finding.Path == path || finding.Path == "" {
			kept.list = append(kept.list, finding)
		}
	}
	return kept
}
