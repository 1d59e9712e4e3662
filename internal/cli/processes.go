package cli

import (
	"context"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/router"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
	"lentilwood.example/lentilwood/platform"
)

// serveRouter runs a router until ctx ends, and then shuts it down.
func serveRouter(ctx context.Context, settings loader.Router, log *logrus.Logger) error {
	r := newRouter(settings, log)
	if err := r.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return r.Shutdown(context.Background())
}

// runnable is a router on some platform.
type runnable interface {
	Start() error
	Shutdown(ctx context.Context) error
}

// newRouter builds the router that fits the platform of the settings.
func newRouter(settings loader.Router, log *logrus.Logger) runnable {
	if settings.Platform.Interface == loader.InterfaceRows {
		client := platform.NewClient(settings.Platform.Address, follower.MaxRowBytes(settings.Memory))
		return router.NewHosted(router.HostedConfig{
			Settings: settings, Source: client, Directory: client, Evidence: client, Streams: client, Decoder: platform.Decoder{},
			Dialect: platform.Dialect{}, HeaderReader: platform.Entrance{}, Log: log,
		})
	}
	return router.New(router.Config{
		Settings: settings,
		Store: storer.NewClient(storer.ClientConfig{
			URL: "http://" + settings.Platform.Address, Timeout: settings.Platform.Timeout,
		}),
		Log: log,
	})
}

// servePlatform runs the platform's stand-in until ctx ends.
func servePlatform(ctx context.Context, settings loader.Platform, log *logrus.Logger) error {
	k := keeper.New(timekeeper.System{})
	if err := firstConfiguration(ctx, k, settings.ConfigurationFile); err != nil {
		return err
	}
	k.SetVMs(vmsOf(settings.VMs))
	k.SetFaults(keeper.Faults{
		Seed: 1, Down: settings.Faults.Down, Delay: settings.Faults.Delay,
		LoseAnswers: settings.Faults.LostAnswers, ListLag: settings.VMListLag,
	})
	l, err := listener.Start(listener.Config{
		Name: "platform", Address: settings.Address, Log: log, MaxBodyBytes: loader.MaxFileBytes,
		Handler: func(c *listener.Caller, r *http.Request) { k.ServeHTTP(c, r) },
	})
	if err != nil {
		return err
	}
	log.WithField("event", "started").WithField("address", l.Addr()).Info("platform stand-in started")
	<-ctx.Done()
	return l.Shutdown(context.Background())
}

// firstConfiguration writes version 1 of the fleet configuration.
func firstConfiguration(ctx context.Context, store storer.Store, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, err := configurer.Parse(data)
	if err != nil {
		return err
	}
	doc.Version = 0
	editor := configurer.Editor{Store: store}
	_, err = editor.Set(ctx, doc, configurer.Note{Author: "platform", Reason: "first configuration"})
	return err
}

func vmsOf(entries []loader.VM) []storer.VM {
	vms := make([]storer.VM, 0, len(entries))
	for _, e := range entries {
		vms = append(vms, storer.VM{Name: e.Name, Address: e.Address, Domain: e.FailureDomain, Leaving: e.Leaving})
	}
	return vms
}

// serveWorker runs a model engine's stand-in until ctx ends.
func serveWorker(ctx context.Context, settings loader.Worker, log *logrus.Logger) error {
	w := emulator.NewWorker(emulator.WorkerConfig{
		Name: settings.Name, Slots: settings.Slots,
		PrefillPerToken: settings.PrefillPerToken,
		StepTime:        settings.StepTime, StepTimePerStream: settings.StepTimePerStream, CacheTokens: settings.CacheTokens,
		CacheLag: settings.CacheLag, CacheGaps: settings.CacheLoss, LoadLag: settings.LoadLag,
		GraceTime: settings.ResumeGrace, Models: settings.Models, ChecksFence: settings.ChecksFence,
		Seed: settings.Seed, Log: log,
	}, timekeeper.System{})
	if err := w.Start(settings.Address); err != nil {
		return err
	}
	log.WithField("event", "started").WithField("address", w.Addr()).Info("worker stand-in started")
	<-ctx.Done()
	w.Stop()
	return nil
}

// serveService runs a plain service's stand-in until ctx ends.
func serveService(ctx context.Context, settings loader.Service, log *logrus.Logger) error {
	s := emulator.NewService(emulator.ServiceConfig{
		Name: settings.Name, Slots: settings.Slots, ServiceTime: settings.TimePerCall,
		LoadLag: settings.LoadLag, Log: log,
	}, timekeeper.System{})
	if err := s.Start(settings.Address); err != nil {
		return err
	}
	log.WithField("event", "started").WithField("address", s.Addr()).Info("service stand-in started")
	<-ctx.Done()
	s.Stop()
	return nil
}
