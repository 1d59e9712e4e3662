package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/linter"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/parser"
)

// exitFindings is the exit code of a check that found no error but entries that
// break a rule. Usage errors have the same code.
const exitFindings = 2

type configCheckCommand struct {
	connection
	File    string `arg:"" help:"Document of the kind \"configuration\"."`
	Against string `xor:"against" placeholder:"FILE" help:"List what differs from this document."`
	InForce bool   `xor:"against" help:"List what differs from the configuration in force; only this asks a router."`
}

// Help explains the exit codes.
func (configCheckCommand) Help() string {
	return "Exit codes: 0 without errors and findings, 1 with errors, 2 with findings only. " +
		"Errors are what \"config set\" refuses; with errors nothing else is checked. " +
		"Findings are entries that never apply and limits that contradict each other. " +
		"Differences do not change the exit code."
}

// checkReport is what the check of a document found.
type checkReport struct {
	Errors      []parser.Finding   `json:"errors"`
	Findings    []ruleFinding      `json:"findings"`
	Differences []placedDifference `json:"differences"`
}

type ruleFinding struct {
	parser.Finding
	Rule string `json:"rule"`
}

type placedDifference struct {
	Place parser.Place `json:"place"`
	linter.Difference
}

// Run prints errors, or else findings and differences.
func (c configCheckCommand) Run(s *streams) error {
	document, findings := checkDocument(c.File)
	report := checkReport{
		Errors:      append([]parser.Finding{}, findings.All()...),
		Findings:    []ruleFinding{},
		Differences: []placedDifference{},
	}
	if findings.Len() == 0 {
		if err := c.lint(&report, document, findings); err != nil {
			return err
		}
	}
	if err := c.printReport(s, report); err != nil {
		return err
	}
	switch {
	case len(report.Errors) > 0:
		return merry.Errorf("%d errors in %s", len(report.Errors), c.File)
	case len(report.Findings) > 0:
		return &exitError{code: exitFindings, err: merry.Errorf("%d findings in %s", len(report.Findings), c.File)}
	}
	return nil
}

// checkDocument reads a document and reports what "config set" refuses, here or
// at the router: the router's parser is stricter about the signs of numbers.
func checkDocument(file string) (*configurer.Document, parser.Findings) {
	if findings := checkConfiguration(file); findings.Len() > 0 {
		return nil, findings
	}
	data, findings := loader.Read(file)
	if findings.Len() > 0 {
		return nil, findings
	}
	document, findings := loader.DecodeConfiguration(file, data)
	sent, _, err := encodeConfiguration(file)
	if err != nil {
		return nil, parser.FileFinding(file, err.Error(), "")
	}
	_, err = configurer.Parse(sent)
	for _, f := range configurer.FindingsOf(err) {
		findings.Add(f.Path, f.Text, "")
	}
	return document, findings
}

// lint adds findings and differences, with their places in the document.
func (c configCheckCommand) lint(r *checkReport, d *configurer.Document, places parser.Findings) error {
	for _, f := range linter.Lint(d, time.Now()) {
		r.Findings = append(r.Findings, ruleFinding{
			Finding: parser.Finding{Place: places.Place(f.Path), Path: f.Path, Wrong: f.Text}, Rule: f.Rule,
		})
	}
	other, err := c.comparison()
	if err != nil || other == nil {
		return err
	}
	for _, difference := range linter.Diff(other, d) {
		r.Differences = append(r.Differences, placedDifference{places.Place(difference.Path), difference})
	}
	return nil
}

// comparison returns the document to compare with, or nil. Only its form is
// checked: another release may have accepted what this one refuses.
func (c configCheckCommand) comparison() (*configurer.Document, error) {
	name, data := c.Against, []byte(nil)
	switch {
	case c.InForce:
		client, err := c.client()
		if err != nil {
			return nil, err
		}
		cfg, err := client.Config(context.Background())
		if err != nil {
			return nil, err
		}
		name, data = fmt.Sprintf("version %d", cfg.Version), cfg.Document
	case c.Against != "":
		text, findings := loader.Read(c.Against)
		if err := findings.Err(); err != nil {
			return nil, err
		}
		data = text
	default:
		return nil, nil
	}
	document, findings := parser.Decode[configurer.Document](name, data)
	return &document, findings.Err()
}

func (c configCheckCommand) printReport(s *streams, r checkReport) error {
	if c.JSON {
		return printJSON(s.out, r)
	}
	for _, f := range r.Errors {
		fmt.Fprintf(s.out, "error: %s\n", f)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(s.out, "finding: %s [%s]\n", f.Finding, f.Rule)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(s.out, "difference: %s: %s\n", d.Place, d.Difference)
	}
	if len(r.Errors)+len(r.Findings) == 0 {
		fmt.Fprintf(s.out, "%s: no errors and no findings\n", c.File)
	}
	return nil
}
