package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Settings of a small deployment.
const (
	drainTime        = 2 * time.Second
	contactTime      = 3 * time.Second
	graceTime        = 8 * time.Second
	retryRatio       = 0.2
	retryExtra       = 56
	retryWindow      = 10 * time.Second
	routerMemoryMB   = 134
	readyTimeout     = 20 * time.Second
	idleTimeoutMS    = 15000
	headerTimeoutMS  = 3000
	maxConfigVersion = 7
)

// router is a router process.
type router struct {
	name                  string
	front, ready, control string
	settings              string
	log                   string
	cmd                   *exec.Cmd
	startedAt             time.Time
	ended                 chan struct{}

	// peakMB and kills belong to the supervision of the router's memory.
	peakMB, kills atomic.Int64

	mu   sync.Mutex
	idle []*keptConn
}

// fleet is a small deployment on loopback.
type fleet struct {
	root    string
	dir     string
	store   *store
	record  *record
	routers []*router
	workers []*worker
	// startMu guards the start of processes, stopping is set once none is to be started any
	// more.
	startMu  sync.Mutex
	stopping atomic.Bool
}

func newFleet(root, caseDir string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, store: st, record: rec}, nil
}

// configure writes the operator's configuration.
func (f *fleet) configure(routes, services []map[string]any) {
	f.store.put("op", "config", map[string]any{
		"version": maxConfigVersion, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": headerTimeoutMS,
			"idleTimeoutMs": idleTimeoutMS, "tokensPerS": 520000,
		},
		"tenants": []map[string]any{{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
}

// addWorker starts a worker.
func (f *fleet) addWorker(w *worker) error {
	w.store, w.record = f.store, f.record
	f.workers = append(f.workers, w)
	return w.start()
}

// startRouters starts routers and waits until they are ready.
func (f *fleet) startRouters(n int) error {
	var seeds []string
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), front: freeAddress(), ready: freeAddress(), control: freeAddress()}
		f.routers = append(f.routers, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.control)
		}
	}
	for _, r := range f.routers {
		text, err := renderSettings(filepath.Join(f.root, "deploy", "router.jsonc"), f.values(r, seeds))
		if err != nil {
			return err
		}
		r.settings = filepath.Join(f.dir, r.name+".json")
		r.log = filepath.Join(f.dir, r.name+".log")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := f.startRouter(r); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if !r.awaitReady() {
			log, _ := os.ReadFile(r.log)
			return fmt.Errorf("router %s is not ready; its log: %s", r.name, log)
		}
	}
	return nil
}

func (f *fleet) values(r *router, seeds []string) map[string]any {
	return map[string]any{
		"nodeName": r.name, "zone": "zone-a",
		"listen":     map[string]any{"front": r.front, "ready": r.ready, "control": r.control},
		"seeds":      seeds,
		"platform":   map[string]any{"address": f.store.address},
		"limits":     map[string]any{"maxFds": 4100, "memoryMb": routerMemoryMB, "cpuShare": 0.4},
		"bounds":     map[string]any{"graceS": 8, "retryBudgetRatio": retryRatio, "budgetExtra": retryExtra, "budgetWindowS": 10},
		"firstStart": false,
	}
}

// errStopping means that the fleet is being stopped.
var errStopping = errors.New("the fleet is being stopped")

// startRouter starts a router's process.
func (f *fleet) startRouter(r *router) error {
	f.startMu.Lock()
	defer f.startMu.Unlock()
	if f.stopping.Load() {
		return errStopping
	}
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(f.root, "target", "lentilwood"), "router", r.settings) //nolint:gosec // the program under test
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = f.root, log, log
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LENTILWOOD_NODE_FILE=" + r.settings}
	r.startedAt = time.Now()
	if err := r.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	f.record.note("router %s starts", r.name)
	ended := make(chan struct{})
	r.ended = ended
	cmd := r.cmd
	go func() {
		err := cmd.Wait()
		f.record.note("router %s ended: %v", r.name, err)
		close(ended)
	}()
	return nil
}

func (r *router) awaitReady() bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

func (r *router) isRunning() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// memoryMB returns the peak of the resident memory of the router's process.
func (r *router) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	f.startMu.Lock()
	defer f.startMu.Unlock()
	if f.stopping.Swap(true) {
		return
	}
	for _, r := range f.routers {
		if r.cmd != nil && r.isRunning() {
			r.signal(syscall.SIGKILL)
			r.signal(syscall.SIGCONT)
			<-r.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
	f.record.close()
}

const (
	// firstPort and lastPort are below the ports that the system gives to connections.
	firstPort = 10_000
	lastPort  = 30_000
)

// givenPorts are the ports that freeAddress has returned.
var givenPorts sync.Map

// freeAddress returns a loopback address that nobody listens on, each one once.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
