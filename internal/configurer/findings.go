package configurer

import (
	"errors"
	"strings"
)

// Finding is one fault of a Document, with the path of the field it is in.
type Finding struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Findings are all the faults of a Document; as an error it lists them one a
// line.
type Findings []Finding

// Error lists the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Path + ": " + finding.Text
	}
	return strings.Join(lines, "\n")
}

// FindingsOf returns the findings that an error carries, if any.
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
