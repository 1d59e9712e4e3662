package cli

import (
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/parser"
)

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check settings files and report all findings together."`
}

type settingsCheckCommand struct {
	Files []string `arg:"" name:"file" help:"Settings files of any kind."`
	JSON  bool     `name:"json" help:"Print one JSON object instead of lines."`
}

// fileReport is what the check of one file found.
type fileReport struct {
	File     string           `json:"file"`
	Kind     loader.Kind      `json:"kind,omitempty"`
	Findings []parser.Finding `json:"findings"`
}

// Run checks every file and fails if there is any finding.
func (c settingsCheckCommand) Run(s *streams) error {
	reports := make([]fileReport, 0, len(c.Files))
	total := 0
	for _, file := range c.Files {
		kind, findings := checkFile(file)
		total += findings.Len()
		reports = append(reports, fileReport{File: file, Kind: kind, Findings: findings.All()})
	}
	if err := c.print(s, reports); err != nil {
		return err
	}
	if total > 0 {
		return merry.Errorf("%d findings in %d files", total, len(c.Files))
	}
	return nil
}

// checkFile checks one file of any kind.
func checkFile(file string) (loader.Kind, parser.Findings) {
	kind, findings := loader.CheckFile(file)
	if kind == loader.KindLoad && findings.Len() == 0 {
		_, findings = generator.LoadMix(file)
	}
	return kind, findings
}

func (c settingsCheckCommand) print(s *streams, reports []fileReport) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(struct {
			Files []fileReport `json:"files"`
		}{reports})
	}
	for _, r := range reports {
		for _, finding := range r.Findings {
			fmt.Fprintln(s.out, finding)
		}
		if len(r.Findings) == 0 {
			fmt.Fprintf(s.out, "%s: %s settings are valid\n", r.File, r.Kind)
		}
	}
	return nil
}
