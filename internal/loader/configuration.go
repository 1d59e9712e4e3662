package loader

import (
	"strings"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/parser"
)

// DecodeConfiguration reads and checks a fleet configuration document. The
// findings have the same form as those of settings files.
func DecodeConfiguration(file string, data []byte) (*configurer.Document, parser.Findings) {
	document, findings := parser.Decode[configurer.Document](file, data)
	if findings.Reported("") {
		return &document, findings
	}
	shape := findings
	for _, f := range configurer.FindingsOf(configurer.Check(&document)) {
		if shape.Reported(f.Path) {
			continue
		}
		if allowed, ok := strings.CutPrefix(f.Text, "want "); ok {
			findings.Add(f.Path, "is not allowed", allowed)
			continue
		}
		findings.Add(f.Path, f.Text, "")
	}
	return &document, findings
}
