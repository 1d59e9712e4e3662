package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reservedFiles is the number of descriptors that the platform reserves for files.
const reservedFiles = 200

// sheet holds what the settings of a machine say.
type sheet struct {
	memoryMB, maxFiles int
	cpuShare           float64
	zones              []string
	budgetExtra        int
}

// gerincjel is the sheet of the small deployment with the least memory.
var gerincjel = sheet{memoryMB: 134, maxFiles: 4100, cpuShare: 0.4, zones: []string{"bp-a", "bp-b", "gyor-a", "kecs-a"}, budgetExtra: 56}

// routerProcess is a router of the fleet, which the platform starts, watches and starts again.
type routerProcess struct {
	name, zone            string
	front, ready, control string
	sheet                 sheet
	seeds                 []string
	storeAddress, dir     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
	stopped bool
}

// fleet is the set of routers of a case.
type fleet struct {
	routers []*routerProcess
	dir     string
}

// startFleet starts n routers with the command and the template of the deploy file.
func startFleet(s *store, sh sheet, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	var seeds []string
	for i := range n {
		zone := sh.zones[i%len(sh.zones)]
		r := &routerProcess{
			name: fmt.Sprintf("edge-%s-%d", zone, i/len(sh.zones)+1), zone: zone,
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), sheet: sh, storeAddress: s.address, dir: dir,
		}
		if i < 3 {
			seeds = append(seeds, r.control)
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		r.seeds = seeds
		if err := r.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// end ends all routers and removes their files.
func (f *fleet) end() {
	for _, r := range f.routers {
		r.mu.Lock()
		r.stopped = true
		cmd, ended := r.cmd, r.ended
		r.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	_ = os.RemoveAll(f.dir)
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range f.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// start starts the router's process with the settings in effect.
func (r *routerProcess) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	text, err := r.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, r.name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The platform reserves some of the descriptors for files.
	limited := fmt.Sprintf(`ulimit -n %d && exec target/lentilwood router "$0"`, r.sheet.maxFiles-reservedFiles)
	cmd := exec.Command("/bin/sh", "-c", limited, file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILWOOD_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) { _ = cmd.Wait(); close(ended) }(r.ended)
	r.starts++
	return nil
}

// settings fills in the template of the deploy file.
func (r *routerProcess) settings() (string, error) {
	text, err := os.ReadFile("deploy/router.jsonc")
	if err != nil {
		return "", err
	}
	seeds, _ := json.Marshal(r.seeds)
	return strings.NewReplacer(
		"{{nodeName}}", r.name, "{{zone}}", r.zone, "{{listen.front}}", r.front, "{{listen.ready}}", r.ready, "{{listen.control}}", r.control,
		"{{seeds|json}}", string(seeds), "{{platform.address}}", r.storeAddress, "{{limits.maxFds}}", strconv.Itoa(r.sheet.maxFiles),
		"{{bounds.graceS}}", "8", "{{limits.memoryMb}}", strconv.Itoa(r.sheet.memoryMB), "{{limits.cpuShare}}", fmt.Sprint(r.sheet.cpuShare),
		"{{firstStart|json}}", strconv.FormatBool(r.starts == 0), "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.budgetExtra}}", strconv.Itoa(r.sheet.budgetExtra), "{{bounds.budgetWindowS}}", "10",
	).Replace(string(text)), nil
}

// pid is the id of the router's process.
func (r *routerProcess) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// signal sends a signal to the router's process.
func (r *routerProcess) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(sig)
}

// hasEnded reports whether the router's process has ended.
func (r *routerProcess) hasEnded() bool {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// isReady asks the router as the balancer does.
func (r *routerProcess) isReady() bool {
	status, err := ask(r.ready, "/readyz", time.Second)
	return err == nil && status == 200
}

// anonymousBytes is the memory of the process that no file backs.
func (r *routerProcess) anonymousBytes() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid()))
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// openFiles is the number of descriptors that the process has open.
func (r *routerProcess) openFiles() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid()))
	return len(files)
}

// Ports of routers are below those that the system gives to outgoing connections.
const firstPort, lastPort = 15000, 32000

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}
