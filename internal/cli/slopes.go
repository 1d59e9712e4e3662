package cli

import (
	"os"
	"path/filepath"

	"lentilwood.example/lentilwood/internal/sloper"
)

type slopesCommand struct {
	Results string `arg:"" type:"existingfile" help:"Output of go test -bench."`
	Dir     string `arg:"" type:"existingdir" help:"Where slopes.md and slopes.png are written."`
}

// Run fits lines through results of benchmarks.
func (c slopesCommand) Run(*streams) error {
	f, err := os.Open(c.Results)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	slopes, err := sloper.Read(f)
	if err != nil {
		return err
	}
	table, err := os.Create(filepath.Join(c.Dir, "slopes.md"))
	if err != nil {
		return err
	}
	defer func() { _ = table.Close() }()
	if err := sloper.WriteTable(table, slopes); err != nil {
		return err
	}
	return sloper.Plot(slopes, filepath.Join(c.Dir, "slopes.png"))
}
