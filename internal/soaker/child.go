package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// ChildVariable is set in the environment of each process of a run.
const ChildVariable = "LENTILWOOD_SOAK_CHILD"

// child is one program of the fleet, which may be ended and started again.
type child struct {
	name    string
	program string
	args    []string
	log     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	told    bool
	failure error
	// unexpected holds the ends that nobody asked for.
	unexpected []string
}

func (c *child) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := os.OpenFile(c.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Prependf(err, "open the log of %s", c.name)
	}
	cmd := exec.Command(c.program, c.args...) //nolint:gosec // the program is this one
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), ChildVariable+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = out.Close() // the process has a descriptor of its own
	if err != nil {
		return merry.Prependf(err, "start %s", c.name)
	}
	exited := make(chan struct{})
	c.cmd, c.exited, c.told = cmd, exited, false
	go c.wait(cmd, exited)
	return nil
}

func (c *child) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = err
	if !c.told {
		c.unexpected = append(c.unexpected, c.name+" ended by itself, see "+filepath.Base(c.log))
	}
	close(exited)
}

// signal sends a signal to the process that was started last. An end that
// follows is expected if ends is true.
func (c *child) signal(sig syscall.Signal, ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return
	}
	c.told = c.told || ends
	_ = c.cmd.Process.Signal(sig) // a process that is gone already needs none
}

// await returns once the process has ended, or false after a time.
func (c *child) await(limit time.Duration) bool {
	c.mu.Lock()
	exited := c.exited
	c.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (c *child) kill() {
	c.signal(syscall.SIGKILL, true)
	c.await(exitLimit)
}

// lastFailure returns how the process that was last awaited ended.
func (c *child) lastFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

func (c *child) surprises() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unexpected
}
