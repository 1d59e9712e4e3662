package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
	"lentilwood.example/lentilwood/internal/storer"
)

// Labels of the calls to the platform's store.
const (
	purposeConfiguration storer.Purpose = "configuration"
	purposeMembership    storer.Purpose = "membership"
	purposeJobs          storer.Purpose = "jobs"
)

// maxMemberRows is the page size for reads of the member table.
const maxMemberRows = 1000

// handleFleetEvent passes an event about the fleet to the coordinator and executes the
// resulting actions. It runs on the control goroutine.
func (r *Router) handleFleetEvent(e coordinator.Event) {
	for _, a := range r.coordinator.Handle(r.clock.Now(), e) {
		r.execute(a)
	}
	switch e := e.(type) {
	case coordinator.Tick:
		r.updateControlScale()
		r.quarantine.tick()
		r.spreadEvidence()
	case coordinator.RowsRead:
		if e.Err == nil {
			r.setMembersKnown()
		}
	}
}

// setMembersKnown records that the other routers are known, from the member table or from a
// message of one of them. Before that the router is not ready: its scheduler would use the
// whole window (all request slots) of each upstream for itself.
func (r *Router) setMembersKnown() {
	if r.membersKnown {
		return
	}
	r.membersKnown = true
	r.publishReadiness()
}

func (r *Router) execute(a coordinator.Action) {
	switch a := a.(type) {
	case coordinator.Send:
		r.sendEnvelope(a.Address, envelope{Fleet: &a.Message})
	case coordinator.ReadTable:
		r.goroutines.Go(func() { r.readConfiguration(a.State) })
	case coordinator.ReadRows:
		r.goroutines.Go(func() { r.readMembers(a.Since) })
	case coordinator.WriteRow:
		r.goroutines.Go(func() { r.writeMember(a.Op) })
	case coordinator.ReadVMs:
		r.goroutines.Go(r.readVMs)
	case coordinator.ApplyConfiguration:
		r.applyConfiguration(a)
	case coordinator.PeersChange:
		r.updatePeers(a.PeersChange)
	case coordinator.UpdateRejected:
		r.log.WithField(eventField, "configuration").WithError(a.Err).Error("configuration rejected; the previous version stays active")
	case coordinator.ReadyChange:
		r.updateConfigReadiness(a.ReadyChange)
	}
}

// applyConfiguration makes a configuration the active one. New requests use it at once, the
// scheduler from its next event on.
func (r *Router) applyConfiguration(a coordinator.ApplyConfiguration) {
	if a.Document != r.activeDocument() {
		r.replaceTokens(a.Document)
	}
	r.active.Store(&activeConfig{document: a.Document, policy: a.Policy})
	r.control.handle(messenger.PolicyChange{Policy: a.Policy})
	r.quarantine.setUpstreams(a.Policy.Upstreams)
	r.assignPolls()
	r.conductor.Update(a.Document, a.Policy)
	r.log.WithFields(logrus.Fields{eventField: "configuration", "version": a.Document.Version}).Info("configuration applied")
}

// replaceTokens replaces the tokens that identify client accounts by those of a document.
func (r *Router) replaceTokens(doc *configurer.Document) {
	if err := r.accounts.Replace(doc.Tokens()); err != nil {
		r.log.WithField(eventField, "configuration").WithError(err).Error("account tokens not replaced")
	}
}

// updatePeers passes a new list of routers to the scheduler, the poller and the conductor.
func (r *Router) updatePeers(change registrar.PeersChange) {
	r.peers = change
	r.control.handle(messenger.PeersChange{Routers: change.Live})
	r.quarantine.setRouters(len(change.Live), r.self)
	r.forgetEvidenceSyncs()
	r.assignPolls()
	r.conductor.Peers(change.Live)
	r.log.WithFields(logrus.Fields{
		eventField: "peers", "live": len(change.Live), "reached": len(change.Reachable), "known": change.KnownCount,
	}).Info("list of routers changed")
}

// assignPolls redistributes the polling of upstreams among the routers.
func (r *Router) assignPolls() {
	cfg := r.active.Load()
	if cfg != nil {
		r.poller.Assign(r.peers.Live, cfg.policy.Upstreams)
	}
}

// updateConfigReadiness records whether the configuration allows the router to serve callers.
func (r *Router) updateConfigReadiness(change configurer.ReadyChange) {
	r.configReadiness = change
	r.publishReadiness()
}

// publishReadiness updates the answer of the readiness check.
func (r *Router) publishReadiness() {
	state := readiness{ready: r.configReadiness.Ready, reason: string(r.configReadiness.Reason)}
	if state.ready && !r.membersKnown {
		state = readiness{reason: "no-members"}
	}
	r.ready.Store(&state)
	r.log.WithFields(logrus.Fields{eventField: "ready", "ready": state.ready, "reason": state.reason}).Info("readiness changed")
}

// storeContext returns a context with the timeout for store calls.
func (r *Router) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.backgroundCtx, storeTimeout)
}

// storeTimeout bounds one operation on the platform's store, retries included.
const storeTimeout = 10 * time.Second

func (r *Router) readConfiguration(s *configurer.State) {
	ctx, cancel := r.storeContext()
	defer cancel()
	u, err := configurer.Fetch(ctx, r.store.For(purposeConfiguration), s)
	r.control.submit(coordinator.TableRead{Update: u, Err: err})
}

func (r *Router) readMembers(since uint64) {
	ctx, cancel := r.storeContext()
	defer cancel()
	rows, err := r.store.For(purposeMembership).Scan(ctx, registrar.Table, since, maxMemberRows)
	r.control.submit(coordinator.RowsRead{Rows: rows, Err: err})
}

func (r *Router) writeMember(op storer.Op) {
	ctx, cancel := r.storeContext()
	defer cancel()
	err := r.store.For(purposeMembership).Commit(ctx, []storer.Op{op})
	r.control.submit(coordinator.RowWritten{Op: op, Err: err})
}

func (r *Router) readVMs() {
	ctx, cancel := r.storeContext()
	defer cancel()
	vms, err := r.store.For(purposeMembership).VMs(ctx)
	r.control.submit(coordinator.VMsRead{VMs: vms, Err: err})
}
