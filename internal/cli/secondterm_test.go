package cli

import (
	"bytes"
	"context"
	"os"
	"syscall"
	"testing"

	"lentilwood.example/lentilwood/internal/loader"
)

// TestSecondTerminationCutsNothingOff has a platform ask twice for a planned stop, as when two
// changes of the fleet overlap. It ends the process itself once the time for that is over.
func TestSecondTerminationCutsNothingOff(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	close(signals)
	var text bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	ended := false
	watchSignals(ctx, signals, cancel, newLog(&text, loader.Log{}), func(int) { ended = true })
	if ctx.Err() == nil {
		t.Error("the first signal did not cancel the context")
	}
	if ended {
		t.Error("the second SIGTERM ended the process, want it to finish what is in progress")
	}
}
