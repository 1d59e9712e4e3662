package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
)

// Size of the fleet.
const (
	routerCount = 3
	workerCount = 2
)

const (
	// balancerLag is how long the routers expect the balancer to send them
	// connections after they are not ready; the balancer asks every balancerPoll.
	balancerLag  = 500 * time.Millisecond
	balancerPoll = 100 * time.Millisecond
	// drainLimit is how long a router may take to end its requests, exitLimit how
	// long the run waits for a process to end.
	drainLimit = 20 * time.Second
	exitLimit  = 25 * time.Second
	readyLimit = 20 * time.Second
	askTimeout = time.Second
	// operatorName is who changes the configuration.
	operatorName = "soak"
)

// The run's address is 127.N.P.Q with N from firstNet on, by the seed, and the
// process's number in P and Q, so that runs beside each other don't meet.
const (
	firstNet = 200
	nets     = 50
)

// Ports of the processes; routers use one above another.
const (
	portCallers = 7000 + iota
	portStore
	portDesk
	portWorkers
	portRouters   = 7100
	portOperators = 7200
	portPeers     = 7300
	// proxied is added to the port of what stands behind a proxy.
	proxied = 1000
)

// fleet is the processes of a run and the proxies between them.
type fleet struct {
	host    string
	dir     string
	program string
	http    *http.Client

	store   *child
	desk    *child
	workers []*child
	routers []*child
	// callers is the balancer; the others stand before one stand-in each.
	callers *proxy
	links   []*proxy
	ready   [routerCount]atomic.Bool
	turn    atomic.Uint64
	stopped chan struct{}
}

// startFleet starts everything and returns once the routers are ready.
func startFleet(ctx context.Context, cfg Config) (*fleet, error) {
	pid := os.Getpid()
	f := &fleet{
		host:    fmt.Sprintf("127.%d.%d.%d", firstNet+cfg.Seed%nets, pid>>8&0xff, pid&0xff),
		dir:     cfg.Dir,
		program: cfg.Program,
		http:    &http.Client{Timeout: askTimeout},
		stopped: make(chan struct{}),
	}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.startStandIns(); err != nil {
		return err
	}
	callers, err := startProxy(f.at(portCallers), f.nextRouter)
	if err != nil {
		return err
	}
	f.callers = callers
	for i := range routerCount {
		c, err := f.child(fmt.Sprintf("router-%d", i+1), f.routerSettings(i), "router")
		if err != nil {
			return err
		}
		f.routers = append(f.routers, c)
	}
	go f.balance()
	return f.awaitReady(ctx)
}

func (f *fleet) startStandIns() error {
	configuration := filepath.Join(f.dir, "configuration.jsonc")
	if err := f.write(configuration, f.configuration()); err != nil {
		return err
	}
	var err error
	f.store, err = f.child("store", settings{
		"kind": "platform", "address": f.at(portStore + proxied), "configurationFile": configuration,
	}, "standin", "platform")
	if err != nil {
		return err
	}
	f.desk, err = f.child("desk", settings{
		"kind": "service", "name": "order-desk", "address": f.at(portDesk + proxied), "slots": 16, "timePerCall": "40ms",
	}, "standin", "service")
	if err != nil {
		return err
	}
	ports := []int{portStore, portDesk}
	for i := range workerCount {
		c, err := f.child(fmt.Sprintf("worker-%d", i+1), settings{
			"kind": "worker", "name": fmt.Sprintf("worker-%d", i+1), "address": f.at(portWorkers + i + proxied),
			"slots": 8, "stepTime": "4ms", "checksFence": true, "resumeGrace": "5s",
		}, "standin", "worker")
		if err != nil {
			return err
		}
		f.workers = append(f.workers, c)
		ports = append(ports, portWorkers+i)
	}
	for _, port := range ports {
		target := f.at(port + proxied)
		p, err := startProxy(f.at(port), func() string { return target })
		if err != nil {
			return err
		}
		f.links = append(f.links, p)
	}
	return nil
}

// at returns the address with a port.
func (f *fleet) at(port int) string { return fmt.Sprintf("%s:%d", f.host, port) }

// settings is a settings file.
type settings map[string]any

// child writes the settings of a program and starts it.
func (f *fleet) child(name string, s settings, command ...string) (*child, error) {
	file := filepath.Join(f.dir, name+".json")
	if err := f.write(file, s); err != nil {
		return nil, err
	}
	c := &child{name: name, program: f.program, args: append(command, file), log: filepath.Join(f.dir, name+".log")}
	return c, c.start()
}

func (f *fleet) write(file string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return merry.Prependf(err, "encode %s", file)
	}
	return os.WriteFile(file, data, 0o600)
}

func (f *fleet) routerSettings(i int) settings {
	listen := func(port int) settings { return settings{"address": f.at(port + i)} }
	var seeds []string
	for j := range routerCount {
		if j != i {
			seeds = append(seeds, f.at(portPeers+j))
		}
	}
	return settings{
		"kind": "router", "name": fmt.Sprintf("router-%d", i+1), "failureDomain": domain(i),
		"listeners":   settings{"callers": listen(portRouters), "operators": listen(portOperators), "peers": listen(portPeers)},
		"balancerLag": balancerLag.String(), "drainLimit": drainLimit.String(),
		"platform": settings{"address": f.at(portStore), "timeout": "1s"},
		"peerKey":  "peer key of the soak's fleet", "seedPeers": seeds,
		"operators": []settings{{"name": operatorName, "tokenDigest": identifier.DigestOf(tokenOf(operatorName)).Hex()}},
	}
}

func domain(i int) string { return string(rune('a' + i%2)) }

// configuration returns the fleet configuration.
func (f *fleet) configuration() settings {
	upstreams := settings{"order-desk": settings{"pool": "desk", "address": f.at(portDesk), "domain": "a", "window": 16}}
	for i := range workerCount {
		upstreams[fmt.Sprintf("worker-%d", i+1)] = settings{
			"pool": "assistant", "address": f.at(portWorkers + i), "domain": domain(i), "window": 8, "engine": true, "checksFence": true,
		}
	}
	class := func(tokens int, long bool) settings {
		return settings{"expectedTokens": tokens, "long": long, "progressTimeout": "1s", "queueTimeout": "5s"}
	}
	return settings{
		"kind":     "configuration",
		"accounts": settings{account: settings{"tokens": []string{configurer.Digest(tokenOf(account))}}},
		"classes":  settings{"question": class(20, false), "consultation": class(150, true), "lookup": class(1, false), "order": class(1, false)},
		"pools":    settings{"assistant": settings{}, "desk": settings{}}, "upstreams": upstreams,
		"routes": []settings{
			{"path": "/v1/completions", "methods": []string{"POST"}, "pool": "assistant", "class": "question", "classes": []string{"consultation"}, "idempotent": true, "engine": true},
			{"path": "/stock", "methods": []string{"GET"}, "pool": "desk", "class": "lookup", "idempotent": true},
			{"path": "/printRuns", "methods": []string{"POST"}, "pool": "desk", "class": "order"},
		},
	}
}

// balance asks the routers whether they are ready, as a platform does.
func (f *fleet) balance() {
	for i := range routerCount {
		go func() {
			for {
				f.ready[i].Store(f.askReady(i))
				select {
				case <-f.stopped:
					return
				case <-time.After(balancerPoll):
				}
			}
		}()
	}
}

func (f *fleet) askReady(i int) bool {
	resp, err := f.http.Get("http://" + f.at(portOperators+i) + "/readyz")
	if err != nil {
		return false // a router that does not answer is not ready
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nextRouter returns the callers' address of a router that is ready.
func (f *fleet) nextRouter() string {
	first := int(f.turn.Add(1) % routerCount)
	for n := range routerCount {
		if i := (first + n) % routerCount; f.ready[i].Load() {
			return f.at(portRouters + i)
		}
	}
	return ""
}

func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		all := true
		for i := range f.ready {
			all = all && f.ready[i].Load()
		}
		if all {
			return nil
		}
		if ended := f.unexpectedExits(); len(ended) > 0 {
			return merry.Errorf("%s in %s", strings.Join(ended, ", "), f.dir)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(balancerPoll):
		}
	}
	return merry.Errorf("the routers are not ready after %v, see %s", readyLimit, f.dir)
}

// journal reads what a stand-in really ran.
func (f *fleet) journal(ctx context.Context, port int) ([]emulator.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.at(port+proxied)+"/standin/journal", nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, merry.Prepend(err, "read a journal")
	}
	defer func() { _ = resp.Body.Close() }()
	var journal struct {
		Entries []emulator.Entry `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&journal); err != nil {
		return nil, merry.Prepend(err, "decode a journal")
	}
	return journal.Entries, nil
}

// asksRoute asks a router for one of the added routes. The desk does not know
// them, so a route that is there leads to an error of the desk. Known is false if
// the answer does not tell whether the route is there.
func (f *fleet) asksRoute(ctx context.Context, router, step int) (served, known bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.at(portRouters+router)+stepPath(step), nil)
	if err != nil {
		return false, false
	}
	req.Header.Set(identifier.AuthorizationHeader, "Bearer "+tokenOf(account))
	resp, err := f.http.Do(req)
	if err != nil {
		return false, false // the router is down or harmed
	}
	_ = resp.Body.Close()
	own := resp.Header.Get(messenger.RunHeader) == string(messenger.StateNotRun)
	switch resp.StatusCode {
	case http.StatusNotFound:
		return !own, true
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return true, true
	}
	return false, false
}

// operators returns a client of the operators' API of one router.
func (f *fleet) operators(i int) *operator.Client {
	return operator.NewClient(operator.ClientConfig{
		Routers: []string{f.at(portOperators + i)}, Token: tokenOf(operatorName), Timeout: askTimeout,
	})
}

func (f *fleet) children() []*child {
	all := append([]*child{}, f.routers...)
	all = append(all, f.workers...)
	for _, c := range []*child{f.desk, f.store} {
		if c != nil {
			all = append(all, c)
		}
	}
	return all
}

// unexpectedExits names the processes that ended though nobody ended them.
func (f *fleet) unexpectedExits() []string {
	var found []string
	for _, c := range f.children() {
		found = append(found, c.surprises()...)
	}
	return found
}

// stop ends all processes and proxies of the run.
func (f *fleet) stop() {
	close(f.stopped)
	for _, c := range f.children() {
		c.signal(syscall.SIGCONT, false)
		c.kill()
	}
	for _, p := range append([]*proxy{f.callers}, f.links...) {
		if p != nil {
			p.stop()
		}
	}
}

// shorten returns the first line of an error's text.
func shorten(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}
