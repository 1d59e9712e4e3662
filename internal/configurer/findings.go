package configurer

import (
	"errors"
	"strings"
)

// Finding is an error in a Document and the path of the field that contains it.
type Finding struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Findings is the list of all errors in a Document.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Path + ": " + finding.Text
	}
	return strings.Join(lines, "\n")
}

// FindingsOf returns the findings that an error wraps, if any.
func FindingsOf(err error) Findings {
	var f Findings
	errors.As(err, &f)
	return f
}

func (f *Findings) add(path, text string) {
	*f = append(*f, Finding{Path: path, Text: text})
}

// err returns the findings as an error, or nil if there are none.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
