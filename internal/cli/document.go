package cli

import (
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/parser"
)

// readConfiguration checks a fleet configuration document and returns it as
// the API takes it, with the version that it was made from.
func readConfiguration(s *streams, file string) (json.RawMessage, uint64, error) {
	findings := checkConfiguration(file)
	if findings.Len() > 0 {
		fmt.Fprintln(s.err, findings.String())
		return nil, 0, merry.Errorf("nothing was changed: %d findings in %s", findings.Len(), file)
	}
	return encodeConfiguration(file)
}

// checkConfiguration checks a file that must be a fleet configuration document.
func checkConfiguration(file string) parser.Findings {
	kind, findings := loader.CheckFile(file)
	if findings.Len() == 0 && kind != loader.KindConfiguration {
		findings.Add("kind", "is "+string(kind), string(loader.KindConfiguration))
	}
	return findings
}

// encodeConfiguration returns a document as the API takes it, with the version
// that it was made from.
func encodeConfiguration(file string) (json.RawMessage, uint64, error) {
	data, findings := loader.Read(file)
	if err := findings.Err(); err != nil {
		return nil, 0, err
	}
	fields, findings := parser.Decode[map[string]json.RawMessage](file, data)
	if err := findings.Err(); err != nil {
		return nil, 0, err
	}
	var version uint64
	if text, ok := fields["version"]; ok {
		if err := json.Unmarshal(text, &version); err != nil {
			return nil, 0, merry.Prependf(err, "%s: version", file)
		}
	}
	delete(fields, "kind")
	delete(fields, "version")
	document, err := json.Marshal(fields)
	return document, version, err
}
