package evacuator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Table is the table that holds one row for each plan.
const Table = "evacuations"

// maxLog bounds the log kept in the plan. Every step is also a revision in the
// history of the configuration.
const maxLog = 200

// Plan says how one site is emptied, and how far that is. It is what the row
// holds, so that any router can go on with it.
type Plan struct {
	Name string `json:"name"`
	// Site is the failure domain to be emptied.
	Site   string    `json:"site"`
	By     time.Time `json:"by"`
	Reason string    `json:"reason"`
	Author string    `json:"author"`
	Paused bool      `json:"paused,omitempty"`
	// Created is when the plan was made.
	Created time.Time `json:"created"`
	// LongestRun is how long the longest work may run: none is begun later than
	// that before By.
	LongestRun time.Duration `json:"longestRun"`
	Steps      []Step        `json:"steps"`
	Log        []Entry       `json:"log,omitempty"`
}

// Step is the replacement of one upstream.
type Step struct {
	From  messenger.UpstreamID `json:"from"`
	To    messenger.UpstreamID `json:"to"`
	Phase Phase                `json:"phase"`
	// Since is when the phase began.
	Since time.Time `json:"since"`
	// Window is the replacement's window now, Full what it grows to.
	Window int `json:"window,omitempty"`
	Full   int `json:"full"`
	// Engine is true for model engines, whose streams can be moved.
	Engine bool `json:"engine,omitempty"`
	// NoLong is true once From gets no new long work.
	NoLong bool `json:"noLong,omitempty"`
	// Loaded and Finished are when the replacement was loaded and From empty.
	Loaded   time.Time `json:"loaded,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
}

// Phase is how far a step is.
type Phase string

// The phases, in their order.
const (
	// Loading: the replacement loads its models; From works as before.
	Loading Phase = "loading"
	// Warming: the replacement's window grows.
	Warming Phase = "warming"
	// Draining: From gets no new work and finishes what it has.
	Draining Phase = "draining"
	// Moving: streams that are still on From move to the replacement.
	Moving Phase = "moving"
	// Done: From is empty.
	Done Phase = "done"
)

// Entry is one line of a plan's log.
type Entry struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// Request is what an operator asks for.
type Request struct {
	Name, Site, Reason, Author string
	By                         time.Time
	// LongestRun is how long the longest work may run.
	LongestRun time.Duration
}

// ErrNotPossible means that a plan cannot be made; its text says why.
var ErrNotPossible = merry.Sentinel("no plan can be made")

// Create makes a plan. Each upstream of the site gets a replacement: one of its
// pool, elsewhere, that the configuration holds back as leaving.
func Create(now time.Time, d *configurer.Document, r Request) (Plan, error) {
	p := Plan{
		Name: r.Name, Site: r.Site, By: r.By, Reason: r.Reason, Author: r.Author,
		LongestRun: r.LongestRun, Created: now,
	}
	faults := r.faults(now)
	policy := d.Resolve(now, "", "")
	spares := make(map[messenger.PoolID][]messenger.UpstreamID)
	var old []messenger.UpstreamID
	for _, id := range sortedIDs(policy.Upstreams) {
		u := policy.Upstreams[id]
		switch {
		case u.Domain == r.Site:
			old = append(old, id)
		case u.Leaving:
			spares[u.Pool] = append(spares[u.Pool], id)
		}
	}
	if len(old) == 0 {
		faults = append(faults, "no upstream stands in "+r.Site)
	}
	for _, id := range old {
		pool := policy.Upstreams[id].Pool
		if len(spares[pool]) == 0 {
			faults = append(faults, fmt.Sprintf("no replacement in pool %s for %s", pool, id))
			continue
		}
		to := spares[pool][0]
		spares[pool] = spares[pool][1:]
		p.Steps = append(p.Steps, Step{From: id, To: to, Phase: Loading, Since: now, Full: policy.Upstreams[to].Window, Engine: policy.Upstreams[to].Engine})
	}
	if len(faults) > 0 {
		return Plan{}, merry.Prepend(ErrNotPossible, strings.Join(faults, "; "))
	}
	p.log(now, fmt.Sprintf("plan made by %s for %d upstreams: %s", p.Author, len(p.Steps), p.Reason))
	return p, nil
}

func (r Request) faults(now time.Time) []string {
	var faults []string
	if r.Name == "" || r.Reason == "" || r.Author == "" {
		faults = append(faults, "a plan needs a name, a reason and an author")
	}
	if !r.By.After(now) {
		faults = append(faults, "the date has passed")
	}
	return faults
}

func (p *Plan) log(now time.Time, text string) {
	p.Log = append(slices.Clone(p.Log), Entry{Time: now, Text: text})
	if len(p.Log) > maxLog {
		p.Log = p.Log[len(p.Log)-maxLog:]
	}
}

// Finished reports whether the site is empty.
func (p *Plan) Finished() bool {
	return !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Phase != Done })
}

// Exceptions returns the exceptions of the configuration that the plan calls
// for, by their ids. They state what is to be, so that whoever goes on with
// the plan can put them again.
func (p *Plan) Exceptions() map[string]configurer.Exception {
	out := make(map[string]configurer.Exception)
	for _, s := range p.Steps {
		if s.Window > 0 {
			window, leaving := s.Window, false
			out[p.id(s.To)] = p.exception(s.To, configurer.UpstreamSettings{Window: &window, Leaving: &leaving})
		}
		leaving := s.Phase == Draining || s.Phase == Moving || s.Phase == Done
		noLong := s.NoLong
		if leaving || noLong {
			settings := configurer.UpstreamSettings{Leaving: &leaving, NoLong: &noLong}
			if s.Phase == Moving && s.Engine {
				settings.MoveTo = s.To
			}
			out[p.id(s.From)] = p.exception(s.From, settings)
		}
	}
	return out
}

func (p *Plan) id(u messenger.UpstreamID) string { return "evacuate-" + p.Name + "-" + string(u) }

func (p *Plan) exception(u messenger.UpstreamID, s configurer.UpstreamSettings) configurer.Exception {
	return configurer.Exception{
		Scope: configurer.Scope{Upstream: u}, Upstream: &s,
		Reason: "evacuation " + p.Name + ": " + p.Reason, Author: p.Author,
	}
}

func sortedIDs[K ~string, V any](m map[K]V) []K {
	ids := make([]K, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
