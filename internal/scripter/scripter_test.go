package scripter

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	// scenarios names the scenarios to run; those of the project if not given.
	scenarios = flag.String("scenarios", "../../testdata/scenarios/*.txt", "pattern of the scenarios' files")
	// together runs them all at a time, which starves the fleets of processor
	// time.
	together = flag.Bool("together", false, "run all scenarios at a time")
)

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(*scenarios)
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scenarios and error %v", len(files), err)
	}
	if *together {
		testscript.Run(t, Params(files...))
		return
	}
	for _, file := range files {
		t.Run("alone", func(t *testing.T) { testscript.Run(t, Params(file)) })
	}
}

func TestFailedScenarioIsReported(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.txt"), filepath.Join(dir, "bad.txt")
	if err := os.WriteFile(good, []byte("platform\nruns 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte("platform\nruns 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Run(&out, Options{Files: []string{good}}); err != nil {
		t.Errorf("got %v for a scenario that holds: %s", err, out.String())
	}
	out.Reset()
	if err := Run(&out, Options{Files: []string{good, bad}}); err == nil {
		t.Error("got no error for a scenario that does not hold")
	}
	for _, want := range []string{"ok good", "FAILED bad", "got 0 runs, want 1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want %q in it", out.String(), want)
		}
	}
}
