package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/logger"
	"lentilwood.example/lentilwood/internal/parser"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// daemon runs until ctx is cancelled and then shuts down gracefully.
type daemon[T any] func(ctx context.Context, settings T, log *logrus.Logger) error

// The daemons that the commands start. A test replaces them.
var (
	runRouter   daemon[loader.Router]   = serveRouter
	runPlatform daemon[loader.Platform] = servePlatform
	runWorker   daemon[loader.Worker]   = serveWorker
	runService  daemon[loader.Service]  = serveService
)

type routerCommand struct {
	File string `arg:"" help:"Settings file of the kind \"router\"."`
}

// Run serves callers until a signal arrives.
func (c routerCommand) Run(s *streams) error {
	settings, findings := loader.LoadRouter(c.File)
	return runDaemon(s, runRouter, settings, findings, settings.Log)
}

type standinCommands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform's table service, object store and list of VMs."`
	Worker   workerCommand   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a stand-in for a plain service."`
}

type platformCommand struct {
	File string `arg:"" help:"Settings file of the kind \"platform\"."`
}

// Run serves the platform's stand-in until a signal arrives.
func (c platformCommand) Run(s *streams) error {
	settings, findings := loader.LoadPlatform(c.File)
	return runDaemon(s, runPlatform, settings, findings, settings.Log)
}

type workerCommand struct {
	File string `arg:"" help:"Settings file of the kind \"worker\"."`
}

// Run serves a model engine's stand-in until a signal arrives.
func (c workerCommand) Run(s *streams) error {
	settings, findings := loader.LoadWorker(c.File)
	return runDaemon(s, runWorker, settings, findings, settings.Log)
}

type serviceCommand struct {
	File string `arg:"" help:"Settings file of the kind \"service\"."`
}

// Run serves a plain service's stand-in until a signal arrives.
func (c serviceCommand) Run(s *streams) error {
	settings, findings := loader.LoadService(c.File)
	return runDaemon(s, runService, settings, findings, settings.Log)
}

func runDaemon[T any](s *streams, run daemon[T], settings T, findings parser.Findings, cfg loader.Log) error {
	if findings.Len() > 0 {
		fmt.Fprintln(s.err, findings.String())
		return merry.Errorf("not started: %d findings in the settings", findings.Len())
	}
	log := newLog(s.out, cfg)
	ctx, stop := untilSignal(log)
	defer stop()
	defer logger.Flush(log)
	return run(ctx, settings, log)
}

func newLog(w io.Writer, cfg loader.Log) *logrus.Logger {
	return logger.New(w, cfg.Level.Logrus(), timekeeper.System{}, logger.Budget{PriorityEvents: slices.Collect(maps.Keys(beliefs))})
}

// untilSignal returns a context that ends at the first SIGTERM or SIGINT. An interrupt
// after that ends the process.
func untilSignal(log *logrus.Logger) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go noteReloads(reloads, log)
	go watchSignals(ctx, signals, cancel, log, os.Exit)
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		signal.Stop(reloads)
		close(reloads)
		cancel()
	}
}

// noteReloads keeps a hangup from ending the process, also while it shuts down. Settings
// are read at the start; what changes while a router runs stands in the configuration.
func noteReloads(reloads <-chan os.Signal, log *logrus.Logger) {
	for range reloads {
		log.WithField("event", "reload").Info("settings changed; they are read at the next start")
	}
}

func watchSignals(ctx context.Context, signals <-chan os.Signal, cancel func(), log *logrus.Logger, exit func(int)) {
	sig, ok := <-signals
	if !ok {
		return
	}
	log.WithField("event", "signal").WithField("signal", sig).Info("shutting down gracefully; an interrupt ends the process at once")
	cancel()
	<-ctx.Done()
	awaitInterrupt(signals, log, exit)
}

// awaitInterrupt ends the process at the next interrupt, which somebody at a terminal sends.
// A platform may ask for the planned stop again, and ends the process itself once its time
// is over.
func awaitInterrupt(signals <-chan os.Signal, log *logrus.Logger, exit func(int)) {
	for sig := range signals {
		entry := log.WithField("event", "signal").WithField("signal", sig)
		if sig == syscall.SIGTERM {
			entry.Info("shutting down already")
			continue
		}
		entry.Error("second signal: ending at once, requests in progress are cut off")
		logger.Flush(log)
		exit(exitFailed)
		return
	}
}
