// Package drainer collects the word that an upstream is leaving, from the
// platform's list of VMs and from the upstream itself, and spreads it over the
// fleet, so that no router gives it new work a few seconds later, also while
// the platform's store is down.
//
// A drain ordered by an operator is an exception of the configuration and
// spreads with it; Overlay puts all three together.
//
// Each source has its own entry for an upstream, ordered by a stamp that grows
// with each change; at the same stamp leaving wins. The word that an upstream
// leaves is believed at once. The word that it stays after all must hold for
// stayTime, since the list lags and load reports come late.
//
// # Usage
//
//	d := drainer.New()
//	d.SetUpstreams(policy.Upstreams)
//	changed := d.ReceiveVMList(now, vms)                     // from store.VMs
//	changed = d.ReceiveLoadReport(now, "w1", report.Leaving) // from a load report
//	changed = d.Receive(message.Drains, message.DrainSum)
//	message.Drains, message.DrainSum = d.NextUpdates(), d.Checksum()
//	policy = d.Overlay(policy)
package drainer

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Bounds of a Drainer.
const (
	// stayTime is for how long a source must say that an upstream stays before
	// its word that it leaves is taken back.
	stayConfirmTime = 10 * time.Second
	// newsPerMessage bounds the entries in one message.
	updatesPerMessage = 8
	// newsRepeats is how often each change is sent on.
	updateRepeats = 12
	// maxEntries bounds what is kept of upstreams that are not configured.
	maxEntries = 8192
)

// Source is who says that an upstream leaves.
type Source uint8

// The sources.
const (
	// SourceVMList is the platform's list of VMs.
	SourceVMList Source = iota
	// SourceLoadReport is the upstream's own load report.
	SourceLoadReport
)

// Update is what one source says of one upstream. Codecs write it as an array,
// so the order of the fields is part of the format between routers.
type Update struct {
	_        struct{} `codec:",toarray"`
	Upstream messenger.UpstreamID
	Source   Source
	Version  uint32
	Leaving  bool
}

type key struct {
	upstream messenger.UpstreamID
	source   Source
}

type entry struct {
	Update
	// left is how often it is still to be sent on.
	repeatsLeft int
	// staying is since when the source says, to this router, that the
	// upstream stays.
	stayingSince time.Time
}

// Drainer keeps who is leaving. It is not safe for concurrent use.
type Drainer struct {
	entries map[key]*entry
	upstreams   map[messenger.UpstreamID]messenger.UpstreamPolicy
	// sum is the checksum of what is spoken of, while summed is true.
	checksum    uint64
	checksumValid bool
	// differs is how many messages still carry entries in turn, because a
	// peer's sum was another.
	resyncMessages int
	resyncIndex    int
}

// New returns a Drainer that knows of no upstream.
func New() *Drainer { return &Drainer{entries: make(map[key]*entry)} }

// SetUpstreams says which upstreams are configured. Only they are spoken of.
func (d *Drainer) SetUpstreams(upstreams map[messenger.UpstreamID]messenger.UpstreamPolicy) {
	d.upstreams, d.checksumValid = upstreams, false
	if len(d.entries) <= maxEntries {
		return
	}
	maps.DeleteFunc(d.entries, func(k key, _ *entry) bool { return !d.configured(k.upstream) })
}

func (d *Drainer) configured(id messenger.UpstreamID) bool {
	_, ok := d.upstreams[id]
	return ok
}

// ReceiveVMList takes the platform's list. It reports whether anything changed.
func (d *Drainer) ReceiveVMList(now time.Time, vms []storer.VM) bool {
	leaving := make(map[string]bool, 2*len(vms))
	for _, vm := range vms {
		leaving[vm.Name] = vm.Leaving
		if vm.Address != "" {
			leaving[host(vm.Address)] = vm.Leaving
		}
	}
	changed := false
	for id, u := range d.upstreams {
		isLeaving, ok := leaving[string(id)]
		if !ok {
			isLeaving, ok = leaving[host(u.Address)]
		}
		if ok && d.setLeaving(now, key{id, SourceVMList}, isLeaving) {
			changed = true
		}
	}
	return changed
}

// host returns the IP number of an address with or without a port.
func host(address string) string {
	if ap, err := netip.ParseAddrPort(address); err == nil {
		return ap.Addr().String()
	}
	return address
}

// ReceiveLoadReport takes what an upstream says of itself. It reports whether anything
// changed.
func (d *Drainer) ReceiveLoadReport(now time.Time, id messenger.UpstreamID, leaving bool) bool {
	return d.setLeaving(now, key{id, SourceLoadReport}, leaving)
}

// say takes the word of a source that this router asked itself.
func (d *Drainer) setLeaving(now time.Time, k key, leaving bool) bool {
	e, ok := d.entries[k]
	if !ok {
		if !leaving {
			return false
		}
		e = &entry{Update: Update{Upstream: k.upstream, Source: k.source}}
		d.entries[k] = e
	}
	if leaving {
		e.stayingSince = time.Time{}
	}
	if e.Leaving == leaving {
		return false
	}
	if !leaving && !e.confirmStay(now) {
		return false
	}
	e.Version++
	d.checksumValid = false
	e.Leaving, e.repeatsLeft = leaving, updateRepeats
	return true
}

// stays notes the word that an upstream stays and reports whether it has held
// for long enough.
func (e *entry) confirmStay(now time.Time) bool {
	if e.stayingSince.IsZero() {
		e.stayingSince = now
	}
	return now.Sub(e.stayingSince) >= stayConfirmTime
}

// Receive takes the entries and the sum of another router. It reports whether
// anything changed.
func (d *Drainer) Receive(updates []Update, checksum uint64) bool {
	changed := false
	for _, u := range updates {
		if d.mergeUpdate(u) {
			changed = true
		}
	}
	if checksum != d.Checksum() {
		d.resyncMessages = 2 + len(d.entries)/updatesPerMessage
	}
	return changed
}

func (d *Drainer) mergeUpdate(u Update) bool {
	k := key{u.Upstream, u.Source}
	e, ok := d.entries[k]
	if !ok {
		if len(d.entries) >= maxEntries && !d.configured(u.Upstream) {
			return false
		}
		d.entries[k] = &entry{Update: u, repeatsLeft: updateRepeats}
		d.checksumValid = false
		return true
	}
	if u.Version < e.Version || u.Version == e.Version && (e.Leaving || !u.Leaving) {
		return false
	}
	*e = entry{Update: u, repeatsLeft: updateRepeats}
	d.checksumValid = false
	return true
}

// NextUpdates returns what to send with the next message: changes that were not sent
// often yet, and, while a peer holds other entries, all of them in turn.
func (d *Drainer) NextUpdates() []Update {
	if !d.hasUpdates() {
		return nil
	}
	var pending []*entry
	all := d.configuredEntries()
	for _, e := range all {
		if e.repeatsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return cmp.Compare(b.repeatsLeft, a.repeatsLeft) })
	var updates []Update
	for _, e := range pending[:min(updatesPerMessage, len(pending))] {
		e.repeatsLeft--
		updates = append(updates, e.Update)
	}
	if d.resyncMessages > 0 && len(updates) < updatesPerMessage {
		d.resyncMessages--
		for range min(updatesPerMessage-len(updates), len(all)) {
			d.resyncIndex++
			updates = append(updates, all[d.resyncIndex%len(all)].Update)
		}
	}
	return updates
}

// pending reports whether there is anything to send.
func (d *Drainer) hasUpdates() bool {
	if d.resyncMessages > 0 {
		return true
	}
	for _, e := range d.entries {
		if e.repeatsLeft > 0 {
			return true
		}
	}
	return false
}

// spoken returns the entries of configured upstreams, sorted.
func (d *Drainer) configuredEntries() []*entry {
	var all []*entry
	for k, e := range d.entries {
		if d.configured(k.upstream) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Source, b.Source))
	})
	return all
}

// Checksum is the same on two routers that hold the same entries for the same
// configured upstreams.
func (d *Drainer) Checksum() uint64 {
	if d.checksumValid {
		return d.checksum
	}
	d.checksum, d.checksumValid = 0, true
	for k, e := range d.entries {
		if d.configured(k.upstream) {
			d.checksum += e.checksum()
		}
	}
	return d.checksum
}

func (e *entry) checksum() uint64 {
	b := append([]byte(e.Upstream), 0, byte(e.Source))
	b = binary.BigEndian.AppendUint32(b, e.Version)
	if e.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Leaving reports whether a source says that an upstream leaves.
func (d *Drainer) Leaving(id messenger.UpstreamID) bool {
	for _, s := range []Source{SourceVMList, SourceLoadReport} {
		if e, ok := d.entries[key{id, s}]; ok && e.Leaving {
			return true
		}
	}
	return false
}

// Overlay returns the policy with the upstreams that leave marked so. The
// policy itself is not changed.
func (d *Drainer) Overlay(p *messenger.Policy) *messenger.Policy {
	out := *p
	out.Upstreams = maps.Clone(p.Upstreams)
	for id, u := range out.Upstreams {
		if d.Leaving(id) {
			u.Leaving = true
			out.Upstreams[id] = u
		}
	}
	return &out
}
