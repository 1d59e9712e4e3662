package demonstrator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/router"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	loopback = "127.0.0.1:0"
	// readyLimit is how long the routers may take to become ready.
	readyLimit   = 5 * time.Second
	pollInterval = 10 * time.Millisecond
	// balancerLag and drainLimit are the routers' settings for the shutdown.
	balancerLag = 300 * time.Millisecond
	drainLimit  = 7 * time.Second
	// author is the operator who makes the configuration.
	author = "demo"
)

// fleet is everything that runs in the process.
type fleet struct {
	clock   timekeeper.Clock
	log     *logrus.Logger
	store   *keeper.Keeper
	workers map[messenger.UpstreamID]*emulator.Worker
	desk    *emulator.Service
	routers []*router.Router
}

// startFleet starts stand-ins and routers and waits until these are ready.
func startFleet(ctx context.Context, log *logrus.Logger) (*fleet, error) {
	clock := timekeeper.System{}
	f := &fleet{clock: clock, log: log, store: keeper.New(clock), workers: map[messenger.UpstreamID]*emulator.Worker{}}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	addresses := map[messenger.UpstreamID]string{}
	for i := range workerCount {
		id := messenger.UpstreamID(fmt.Sprintf("worker-%d", i+1))
		w := emulator.NewWorker(emulator.WorkerConfig{
			Name: string(id), Slots: workerSlots, StepTime: stepTime, StepTimePerStream: stepPerStream,
			ChecksFence: true, LoadLag: 500 * time.Millisecond, Log: f.log,
		}, f.clock)
		if err := w.Start(loopback); err != nil {
			return err
		}
		f.workers[id] = w
		addresses[id] = w.Addr()
	}
	f.desk = emulator.NewService(emulator.ServiceConfig{Name: string(deskUpstream), ServiceTime: callTime, Log: f.log}, f.clock)
	if err := f.desk.Start(loopback); err != nil {
		return err
	}
	editor := configurer.Editor{Store: f.store, Clock: f.clock}
	note := configurer.Note{Author: author, Reason: "demonstration"}
	if _, err := editor.Set(ctx, document(addresses, f.desk.Addr()), note); err != nil {
		return merry.Prepend(err, "first configuration")
	}
	return f.startRouters(ctx)
}

func (f *fleet) startRouters(ctx context.Context) error {
	for i := range routerCount {
		r := router.New(router.Config{Settings: routerSettings(i), Store: f.store, Clock: f.clock, Log: f.log})
		if err := r.Start(); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	deadline := f.clock.After(readyLimit)
	for !f.ready() {
		select {
		case <-f.clock.After(pollInterval):
		case <-deadline:
			return merry.Errorf("the routers are not ready after %v", readyLimit)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func routerSettings(i int) loader.Router {
	s := loader.DefaultRouter()
	s.Name = fmt.Sprintf("router-%d", i+1)
	s.FailureDomain = domainOf(i)
	s.Listeners = loader.Listeners{
		Callers:   loader.Listener{Address: loopback},
		Operators: loader.Listener{Address: loopback},
		Peers:     loader.Listener{Address: loopback},
	}
	s.BalancerLag = balancerLag
	s.DrainLimit = drainLimit
	s.Operators = []loader.Operator{{Name: author, TokenDigest: identifier.DigestOf(tokenOf(author)).Hex()}}
	s.PeerKey = loader.NewSecret("key of the demonstration")
	return s
}

func (f *fleet) ready() bool {
	return !slices.ContainsFunc(f.routers, func(r *router.Router) bool {
		ready, _ := r.Ready()
		return !ready
	})
}

// callers returns the addresses that callers connect to.
func (f *fleet) callers() []string {
	addresses := make([]string, 0, len(f.routers))
	for _, r := range f.routers {
		addresses = append(addresses, r.CallersAddr())
	}
	return addresses
}

// drain gives a worker no new work, through the operators' API of the first
// router that answers.
func (f *fleet) drain(ctx context.Context, id messenger.UpstreamID) (operator.Change, error) {
	return f.client(f.routers...).Drain(ctx, operator.Drain{
		Precondition: operator.Precondition{Reason: "the VM is leaving"},
		Upstream:     string(id),
	})
}

// awaitVersion returns how many routers do not run a version when limit has
// passed.
func (f *fleet) awaitVersion(ctx context.Context, version uint64, limit time.Duration) int {
	late := slices.Clone(f.routers)
	deadline := f.clock.After(limit)
	for {
		late = slices.DeleteFunc(late, func(r *router.Router) bool {
			status, err := f.client(r).Status(ctx)
			return err == nil && status.Version >= version
		})
		if len(late) == 0 {
			return 0
		}
		select {
		case <-f.clock.After(pollInterval):
		case <-deadline:
			return len(late)
		case <-ctx.Done():
			return len(late)
		}
	}
}

// client returns a client of the operators' API of routers.
func (f *fleet) client(routers ...*router.Router) *operator.Client {
	cfg := operator.ClientConfig{Token: tokenOf(author), Timeout: readyLimit}
	for _, r := range routers {
		cfg.Routers = append(cfg.Routers, r.OperatorsAddr())
	}
	return operator.NewClient(cfg)
}

// inProgress returns how many requests the routers work on.
func (f *fleet) inProgress() int {
	n := 0
	for _, r := range f.routers {
		n += r.InProgress()
	}
	return n
}

// shutdown shuts all routers down gracefully and returns how many had to cut
// requests off.
func (f *fleet) shutdown(ctx context.Context) int {
	failures := make([]error, len(f.routers))
	var wg sync.WaitGroup
	for i, r := range f.routers {
		wg.Go(func() { failures[i] = r.Shutdown(ctx) })
	}
	wg.Wait()
	f.routers = nil
	cut := 0
	for _, err := range failures {
		if err != nil {
			cut++
		}
	}
	return cut
}

// stop ends everything at once.
func (f *fleet) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.shutdown(ctx)
	for _, w := range f.workers {
		w.Stop()
	}
	if f.desk != nil {
		f.desk.Stop()
	}
}

// quietLog returns a logger that writes nothing unless w is set.
func quietLog(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if w != nil {
		log.SetOutput(w)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	return log
}
