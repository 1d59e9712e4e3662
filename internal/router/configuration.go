package router

import (
	"context"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// purposeConfiguration is what reads of the configuration count as.
const purposeConfiguration storer.Purpose = "configuration"

// configuration hands an event to the configurer and carries out what it
// wants. It runs on the control goroutine.
func (r *Router) configuration(e configurer.Event) {
	for _, a := range r.configurer.Handle(r.clock.Now(), e) {
		r.carryOutConfiguration(a)
	}
}

func (r *Router) carryOutConfiguration(a configurer.Action) {
	switch a := a.(type) {
	case configurer.ReadTable:
		go r.readConfiguration(a.State)
	case configurer.PutInForce:
		r.putInForce(a)
	case configurer.ReadyChange:
		r.ready.Store(&readiness{ready: a.Ready, reason: string(a.Reason)})
		r.log.WithField("event", "ready").WithField("ready", a.Ready).WithField("reason", a.Reason).Info("readiness changed")
	case configurer.AskPeer, configurer.AnswerPeer, configurer.Announce:
		r.tellPeers(a)
	}
}

func (r *Router) readConfiguration(s *configurer.State) {
	ctx, cancel := r.storeContext()
	defer cancel()
	u, err := configurer.Fetch(ctx, r.store.For(purposeConfiguration), s)
	r.control.submit(configurer.TableRead{Update: u, Err: err})
}

// putInForce replaces what requests are served by. Traffic sees it with its
// next request, the scheduler with its next event.
func (r *Router) putInForce(a configurer.PutInForce) {
	r.current.Store(&inForce{document: a.Document, policy: a.Policy})
	r.control.handle(messenger.PolicyChange{Policy: a.Policy})
	r.log.WithField("event", "configuration").WithField("version", a.Document.Version).Info("configuration in force")
}

// storeTimeout bounds one use of the platform's store with its retries.
const storeTimeout = 10 * time.Second

// storeContext bounds a use of the platform's store.
func (r *Router) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.background, storeTimeout)
}
