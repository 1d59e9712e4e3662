package listener

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// TestStartFailsOnPortInUse guards against a start that never returns because its port is in
// use: nbio's engine stops its pollers, and a poller that was told to stop before it runs never
// ends. With one processor, none runs before.
func TestStartFailsOnPortInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() //nolint:errcheck // a test
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		done := make(chan error, 1)
		go func() {
			_, err := Start(Config{Name: "taken", Address: ln.Addr().String(), Handler: answerStatus})
			done <- err
		}()
		select {
		case err := <-done:
			if !errors.Is(err, syscall.EADDRINUSE) {
				t.Fatalf("got error %v, want %v", err, syscall.EADDRINUSE)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the start did not return")
		}
	}
}
