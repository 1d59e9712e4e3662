package scripter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/router"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	loopback = "127.0.0.1:0"
	// patience bounds every wait of a scenario.
	patience = 20 * time.Second
	poll     = 5 * time.Millisecond

	// author is the operator who changes the configuration.
	author  = "scenario"
	peerKey = "key of the scenario"
	// tokenPrefix and a client account's name make its bearer token.
	tokenPrefix = "example-token-of-"

	defaultBalancerLag = 50 * time.Millisecond
	defaultDrainLimit  = 15 * time.Second
)

var errCut = errors.New("the scenario cut this link")

// upstream is a stand-in of either kind.
type upstream interface {
	Addr() string
	Start(address string) error
	Stop()
	Journal() []emulator.Entry
	SetFaults(f emulator.Faults)
}

// world is everything that a scenario has started.
type world struct {
	clock timekeeper.Clock
	log   *logrus.Logger

	store     *keeper.Keeper
	upstreams map[string]upstream
	// gone holds the journals of upstreams that crashed.
	gone    map[string][]emulator.Entry
	routers map[string]*router.Router
	answers map[string]*answer
	loads   map[string]*load

	mu   sync.Mutex
	cuts map[link]bool
	// addresses are the routers' addresses for peers.
	peers map[string]string
}

// link is a connection from one router to another.
type link struct{ from, to string }

func newWorld() *world {
	w := &world{
		clock: timekeeper.System{}, log: logrus.New(),
		upstreams: map[string]upstream{}, gone: map[string][]emulator.Entry{},
		routers: map[string]*router.Router{}, answers: map[string]*answer{}, loads: map[string]*load{},
		cuts: map[link]bool{}, peers: map[string]string{},
	}
	w.log.SetOutput(io.Discard)
	return w
}

// stop ends everything at once.
func (w *world) stop() {
	for _, a := range w.answers {
		a.cancel()
	}
	var wg sync.WaitGroup
	for _, r := range w.routers {
		wg.Go(func() { _ = crash(r) })
	}
	wg.Wait()
	for _, u := range w.upstreams {
		u.Stop()
	}
}

// crash ends a router without regard for anything in progress.
func crash(r *router.Router) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return r.Shutdown(ctx)
}

func (w *world) platform() *keeper.Keeper {
	if w.store == nil {
		w.store = keeper.New(w.clock)
	}
	return w.store
}

// addUpstream starts a stand-in.
func (w *world) addUpstream(name string, u upstream) error {
	if _, ok := w.upstreams[name]; ok {
		return merry.Errorf("upstream %s runs already", name)
	}
	if err := u.Start(loopback); err != nil {
		return err
	}
	w.upstreams[name] = u
	return nil
}

// configure puts a configuration in force, with the addresses of the stand-ins
// that bear the upstreams' names.
func (w *world) configure(file string, text []byte) error {
	doc, findings := loader.DecodeConfiguration(file, text)
	if err := findings.Err(); err != nil {
		return err
	}
	for id, u := range doc.Upstreams {
		s, ok := w.upstreams[string(id)]
		if !ok {
			return merry.Errorf("upstream %s of the configuration was not started", id)
		}
		u.Address = s.Addr()
		doc.Upstreams[id] = u
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	editor := configurer.Editor{Store: w.platform(), Clock: w.clock}
	if current, err := editor.Show(ctx); err == nil && current != nil {
		doc.Version = current.Version
	}
	_, err := editor.Set(ctx, doc, configurer.Note{Author: author, Reason: "scenario"})
	return err
}

// startStandIns starts a stand-in for each upstream of a configuration.
func (w *world) startStandIns(file string, text []byte, o options) error {
	doc, findings := loader.DecodeConfiguration(file, text)
	if err := findings.Err(); err != nil {
		return err
	}
	for id, u := range doc.Upstreams {
		slots := defaultSlots
		if u.Window != nil {
			slots = *u.Window
		}
		engine := u.Engine != nil && *u.Engine
		if err := w.addUpstream(string(id), w.newStandIn(string(id), engine, slots, o)); err != nil {
			return err
		}
	}
	return nil
}

const defaultSlots = 8

func (w *world) newStandIn(name string, engine bool, slots int, o options) upstream {
	if !engine {
		return emulator.NewService(emulator.ServiceConfig{
			Name: name, Slots: o.number("slots", slots), ServiceTime: o.duration("time", time.Millisecond), Log: w.log,
		}, w.clock)
	}
	return emulator.NewWorker(emulator.WorkerConfig{
		Name: name, Slots: o.number("slots", slots), StepTime: o.duration("step", 2*time.Millisecond),
		GraceTime: o.duration("grace", 0), LoadLag: o.duration("loadLag", 0), CacheTokens: o.number("cache", 0),
		ChecksFence: o.text("fence", "no") == "yes", Log: w.log,
	}, w.clock)
}

// startRouter starts a router and waits until it is ready, if it can be.
func (w *world) startRouter(name string, o options) error {
	s := loader.DefaultRouter()
	s.Name = name
	s.FailureDomain = o.text("domain", "a")
	s.Listeners = loader.Listeners{
		Callers: loader.Listener{Address: loopback}, Operators: loader.Listener{Address: loopback}, Peers: loader.Listener{Address: loopback},
	}
	s.BalancerLag = o.duration("lag", defaultBalancerLag)
	s.DrainLimit = o.duration("drain", defaultDrainLimit)
	s.PeerKey = loader.NewSecret(peerKey)
	for _, seed := range o.list("seeds") {
		if r, ok := w.routers[seed]; ok {
			s.SeedPeers = append(s.SeedPeers, r.PeersAddr())
		}
	}
	s.Operators = []loader.Operator{{Name: author, TokenDigest: identifier.DigestOf(tokenPrefix + author).Hex()}}
	r := router.New(router.Config{
		Settings: s, Store: w.platform(), Clock: w.clock, Log: w.log, DialPeer: w.dialFrom(name),
	})
	if err := r.Start(); err != nil {
		return err
	}
	w.routers[name] = r
	w.mu.Lock()
	w.peers[r.PeersAddr()] = name
	w.mu.Unlock()
	if o.text("ready", "yes") == "no" {
		return nil
	}
	return w.until("router "+name+" is ready", func() bool {
		ready, _ := r.Ready()
		return ready
	})
}

// dialFrom returns how a router connects to others: not at all where the
// scenario cut the link.
func (w *world) dialFrom(name string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if w.isCut(name, address) {
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: conn, cut: func() bool { return w.isCut(name, address) }}, nil
	}
}

func (w *world) isCut(from, address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[link{from, w.peers[address]}]
}

// setCut cuts or heals the link between two routers, both ways.
func (w *world) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[link{a, b}] = cut
	w.cuts[link{b, a}] = cut
}

// cuttableConn fails once its link is cut.
type cuttableConn struct {
	net.Conn
	cut func() bool
}

// Write implements io.Writer.
func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.cut() {
		_ = c.Close()
		return 0, errCut
	}
	return c.Conn.Write(p)
}

// until waits for a condition.
func (w *world) until(what string, holds func() bool) error {
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			return merry.Errorf("waited %v in vain: %s", patience, what)
		}
		time.Sleep(poll)
	}
	return nil
}

// entries returns the journals of one upstream, or of all.
func (w *world) entries(name string) []emulator.Entry {
	var out []emulator.Entry
	for n, u := range w.upstreams {
		if name == "" || n == name {
			out = append(out, u.Journal()...)
		}
	}
	for n, list := range w.gone {
		if name == "" || n == name {
			out = append(out, list...)
		}
	}
	return out
}

// router returns a router that runs.
func (w *world) router(name string) (*router.Router, error) {
	if r, ok := w.routers[name]; ok {
		return r, nil
	}
	return nil, fmt.Errorf("no router %s runs", name)
}

func tokenOf(account string) string { return tokenPrefix + account }
