package cli

import (
	"bytes"
	"testing"
)

func TestRunExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{name: "version", args: []string{"version"}, want: exitOK},
		{name: "help", args: []string{"--help"}, want: exitOK},
		{name: "unknown command", args: []string{"nonsense"}, want: exitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if got := Run(tt.args, &out, &errOut); got != tt.want {
				t.Errorf("Run(%q) = %d, want %d; stderr: %s", tt.args, got, tt.want, errOut.String())
			}
		})
	}
}
