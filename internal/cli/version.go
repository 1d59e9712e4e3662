package cli

import (
	"fmt"
	"runtime"
)

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *streams) error {
	_, err := fmt.Fprintf(s.out, "lentilwood %s %s/%s %s\n", Version, runtime.GOOS, runtime.GOARCH, runtime.Version())
	return err
}
