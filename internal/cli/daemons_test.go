package cli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/loader"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestDaemonGetsItsSettings(t *testing.T) {
	var got loader.Worker
	saved := runWorker
	defer func() { runWorker = saved }()
	runWorker = func(_ context.Context, s loader.Worker, _ *logrus.Logger) error {
		got = s
		return nil
	}
	file := writeFile(t, "w.jsonc", `{"kind": "worker", "name": "w1", "address": "127.0.0.1:0", "slots": 3}`)
	var out, errOut bytes.Buffer
	if code := Run([]string{"standin", "worker", file}, &out, &errOut); code != exitOK {
		t.Fatalf("Run() = %d, want %d; stderr: %s", code, exitOK, errOut.String())
	}
	if got.Name != "w1" || got.Slots != 3 || got.StepTime != loader.DefaultWorker().StepTime {
		t.Errorf("settings = %+v, want those of the file over the defaults", got)
	}
}

func TestRouterWithBadSettingsDoesNotStart(t *testing.T) {
	saved := runRouter
	defer func() { runRouter = saved }()
	runRouter = func(context.Context, loader.Router, *logrus.Logger) error {
		t.Error("the router started, want it refused")
		return nil
	}
	file := writeFile(t, "r.jsonc", `{"kind": "router", "name": "r 1", "colour": "red"}`)
	var out, errOut bytes.Buffer
	if code := Run([]string{"router", file}, &out, &errOut); code != exitFailed {
		t.Errorf("Run() = %d, want %d", code, exitFailed)
	}
	for _, want := range []string{`:1:28: name: has the value "r 1"`, "colour: is not a known field", "listeners.callers.address: is missing"} {
		if !strings.Contains(errOut.String(), want) {
			t.Errorf("stderr = %s, want %q in it", errOut.String(), want)
		}
	}
}

func TestSettingsCheckCountsFindings(t *testing.T) {
	file := writeFile(t, "s.jsonc", `{"kind": "service", "name": "", "address": "localhost:1", "slots": 0, "timePerCall": "x", "lag": 1}`)
	var out, errOut bytes.Buffer
	if code := Run([]string{"settings", "check", file}, &out, &errOut); code != exitFailed {
		t.Errorf("Run() = %d, want %d", code, exitFailed)
	}
	if got := strings.Count(out.String(), "\n"); got != 5 {
		t.Errorf("got %d findings, want 5:\n%s", got, out.String())
	}
	if want := "5 findings in 1 files"; !strings.Contains(errOut.String(), want) {
		t.Errorf("stderr = %s, want %q", errOut.String(), want)
	}
}

func TestSecondSignalEndsTheProcess(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGINT
	var text bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	code := -1
	watchSignals(ctx, signals, cancel, newLog(&text, loader.Log{}), func(c int) { code = c })
	if ctx.Err() == nil {
		t.Error("the first signal did not cancel the context")
	}
	if code != exitFailed {
		t.Errorf("exit code = %d, want %d", code, exitFailed)
	}
	if !strings.Contains(text.String(), "second signal") {
		t.Errorf("log = %s, want a line on the second signal", text.String())
	}
}

// lines is a log's output that can be read while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) contain(what string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), what)
}

// TestHangupDuringAShutdownEndsNothing has the settings change while a process finishes what
// it has in progress. A hangup that nobody handles ends a process.
func TestHangupDuringAShutdownEndsNothing(t *testing.T) {
	spare := make(chan os.Signal, 1)
	signal.Notify(spare, syscall.SIGHUP) // so that the test lives on in any case
	defer signal.Stop(spare)
	var out lines
	ctx, stop := untilSignal(newLog(&out, loader.Log{}))
	defer stop()
	self := os.Getpid()
	if err := syscall.Kill(self, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond) // what ends with the context has ended
	if err := syscall.Kill(self, syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-spare
	for range 200 {
		if out.contain("event=reload") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("got no line on a hangup during a shutdown, want it handled as before")
}
