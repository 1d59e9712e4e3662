package conductor

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/evacuator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
	"lentilwood.example/lentilwood/internal/storer"
)

// ordered carries out what the orderer wants.
func (c *Conductor) ordered(actions []orderer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case orderer.ReadState:
			c.readState(a.Upstream)
		case orderer.SendOrder:
			c.sendOrder(a)
		case orderer.Resign:
			c.log("resign", logrus.Fields{})
			c.resigned = c.now()
		}
	}
}

func (c *Conductor) address(id messenger.UpstreamID) string { return c.policy.Upstreams[id].Address }

func (c *Conductor) readState(id messenger.UpstreamID) {
	address := c.address(id)
	c.async(stateTimeout, func(ctx context.Context) func() {
		r, err := c.engines.state(ctx, address)
		r.Upstream, r.Err = id, err
		return func() { c.ordered(c.orderer.Handle(c.now(), r)) }
	})
}

// sendOrder sends an order unless the lease has lapsed in the meantime, and
// gives it up when the lease lapses.
func (c *Conductor) sendOrder(a orderer.SendOrder) {
	address := c.address(a.Upstream)
	c.log("order", logrus.Fields{"upstream": a.Upstream, "kind": a.Order.Kind, "model": a.Order.Model,
		"version": a.Order.Version, "adapter": a.Order.Adapter, "role": a.Order.Role, "fence": a.Fence})
	c.async(orderer.LongestOrder, func(ctx context.Context) func() {
		done := orderer.OrderDone{Upstream: a.Upstream, Fence: a.Fence, Err: context.DeadlineExceeded}
		if left := a.Before.Sub(c.now()); left > 0 {
			ctx, cancel := context.WithTimeout(ctx, min(left, orderer.LongestOrder))
			defer cancel()
			done.Err = c.engines.order(ctx, address, a)
			done.OldFence = errors.Is(done.Err, errOldFence)
		}
		return func() { c.ordered(c.orderer.Handle(c.now(), done)) }
	})
}

// look reads which plans there are and how far their upstreams are.
func (c *Conductor) look() {
	c.async(callTimeout, func(ctx context.Context) func() {
		all, err := (&evacuator.Planner{Store: c.cfg.Store, Clock: c.cfg.Clock}).List(ctx)
		return func() {
			if err == nil && c.leads {
				c.takeUp(all)
			}
		}
	})
	if c.policy == nil {
		return
	}
	for _, e := range c.plans {
		plan, _ := e.Plan()
		for _, s := range plan.Steps {
			if s.Phase != evacuator.Done {
				c.readLoad(s.From)
				c.readLoad(s.To)
			}
		}
		e.Handle(c.now(), c.seen(plan))
	}
}

// takeUp works on each plan that is not finished.
func (c *Conductor) takeUp(all []evacuator.Status) {
	for _, s := range all {
		name := s.Plan.Name
		if _, ok := c.plans[name]; ok || s.Plan.Finished() {
			continue
		}
		c.plans[name] = evacuator.New(name)
		c.plans[name].Handle(c.now(), evacuator.Lead{})
		c.log("evacuation", logrus.Fields{"plan": name, "site": s.Plan.Site, "by": s.Plan.By.UTC().Format(time.RFC3339)})
	}
}

func (c *Conductor) readLoad(id messenger.UpstreamID) {
	address := c.address(id)
	c.async(stateTimeout, func(ctx context.Context) func() {
		l, err := c.engines.load(ctx, address)
		return func() {
			if err == nil {
				c.loads[id] = l
			}
		}
	})
}

// seen puts together what is known for a plan. A replacement without a wanted
// state is ready once it answers.
func (c *Conductor) seen(plan evacuator.Plan) evacuator.Seen {
	v := evacuator.View{
		Ready:    make(map[messenger.UpstreamID]bool),
		Running:  make(map[messenger.UpstreamID]int),
		Measured: make(map[messenger.UpstreamID]time.Time),
	}
	wanted := c.document.Engines(c.now())
	for _, s := range plan.Steps {
		_, answers := c.loads[s.To]
		_, ordered := wanted[s.To]
		v.Ready[s.To] = answers && (!ordered || c.orderer.Ready(s.To))
		if l, ok := c.loads[s.From]; ok {
			v.Running[s.From] = l.Running + l.Waiting
			v.Measured[s.From] = time.UnixMilli(l.MeasuredUnixMS)
		}
	}
	return evacuator.Seen{View: v, Exceptions: maps.Clone(c.document.Exceptions)}
}

// evacuated carries out what a plan wants.
func (c *Conductor) evacuated(name string, actions []evacuator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case evacuator.ReadPlan:
			c.answer(name, func(ctx context.Context) evacuator.Event {
				row, err := c.cfg.Store.Read(ctx, evacuator.Table, a.Key)
				return evacuator.PlanRead{Row: row, Err: err}
			})
		case evacuator.SavePlan:
			c.answer(name, func(ctx context.Context) evacuator.Event {
				return evacuator.PlanSaved{Err: c.cfg.Store.Commit(ctx, []storer.Op{a.Op})}
			})
		case evacuator.PutException:
			c.log("evacuation", logrus.Fields{"plan": name, "exception": a.ID})
			c.answer(name, func(ctx context.Context) evacuator.Event {
				ed := configurer.Editor{Store: c.cfg.Store, Clock: c.cfg.Clock}
				_, err := ed.PutException(ctx, 0, a.ID, a.Exception)
				return evacuator.ExceptionPut{ID: a.ID, Err: err}
			})
		case evacuator.Warn:
			c.log("evacuationAtRisk", logrus.Fields{"plan": name, "remaining": a.Forecast.Remaining,
				"finish": a.Forecast.Finish.UTC().Format(time.RFC3339), "latest": a.Forecast.Latest.UTC().Format(time.RFC3339)})
		}
	}
}

// answer makes a call for a plan and feeds it the result.
func (c *Conductor) answer(name string, call func(ctx context.Context) evacuator.Event) {
	c.async(callTimeout, func(ctx context.Context) func() {
		e := call(ctx)
		return func() {
			if plan, ok := c.plans[name]; ok {
				c.evacuated(name, plan.Handle(c.now(), e))
			}
		}
	})
}
