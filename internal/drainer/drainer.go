// Package drainer tracks which upstreams are leaving, that is, must get no new work, and
// distributes this list to all routers. Within a few seconds, no router sends new work to a
// leaving upstream, even while the platform's store is down. The sources are the platform's
// list of VMs and the load reports of the upstreams.
//
// A drain ordered by an operator is an exception in the configuration and is distributed with
// the configuration. Overlay combines it with both sources.
//
// Each source has its own entry for an upstream. The version of an entry grows with each
// change; of two entries with the same version, the one with Leaving set wins. A report that an
// upstream is leaving takes effect at once. A report that the upstream is no longer leaving
// must be repeated for stayConfirmTime, since the list of VMs lags behind and load reports
// arrive late.
//
// # Usage
//
//	d := drainer.New()
//	d.SetUpstreams(policy.Upstreams)
//	changed := d.ReceiveVMList(now, vms)                     // from store.VMs
//	changed = d.ReceiveLoadReport(now, "w1", report.Leaving) // from a load report
//	changed = d.Receive(message.DrainUpdates, message.DrainChecksum)
//	message.DrainUpdates, message.DrainChecksum = d.NextUpdates(), d.Checksum()
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
	// stayConfirmTime is for how long a source must report that an upstream stays before the
	// upstream no longer counts as leaving.
	stayConfirmTime = 10 * time.Second
	// updatesPerMessage is the largest number of updates in one message.
	updatesPerMessage = 8
	// updateRepeats is the number of messages in which each change is sent.
	updateRepeats = 12
	// maxEntries limits the entries of upstreams that are not configured. If there are more
	// entries in all, SetUpstreams removes them; if there are as many, new ones from other
	// routers are rejected.
	maxEntries = 8192
)

// Source is the kind of report that states whether an upstream is leaving.
type Source uint8

// The sources.
const (
	// SourceVMList is the platform's list of VMs.
	SourceVMList Source = iota
	// SourceLoadReport is the upstream's own load report.
	SourceLoadReport
)

// Update states whether an upstream is leaving according to one source. Codecs write it as an
// array, so the order of the fields is part of the wire format between routers.
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
	// repeatsLeft is the number of messages in which the entry is still to be sent.
	repeatsLeft int
	// stayingSince is when the source first reported to this router that the upstream stays.
	stayingSince time.Time
}

// Drainer records which upstreams are leaving. It is not safe for concurrent use.
type Drainer struct {
	entries   map[key]*entry
	upstreams map[messenger.UpstreamID]messenger.UpstreamPolicy
	// checksum caches the result of Checksum. checksumValid is false after a change of the
	// entries or of the configured upstreams.
	checksum      uint64
	checksumValid bool
	// resyncMessages is the number of further messages in which all entries are sent in turn,
	// because a peer's checksum was different. resyncIndex counts the entries sent this way.
	resyncMessages int
	resyncIndex    int
}

// New returns a Drainer without upstreams.
func New() *Drainer { return &Drainer{entries: make(map[key]*entry)} }

// SetUpstreams sets the configured upstreams. Only their entries are sent to other routers.
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

// ReceiveVMList processes the platform's list of VMs, which are matched to upstreams by name
// or IP address. It returns true if any entry changed.
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

// host returns the IP address of an address with or without a port.
func host(address string) string {
	if ap, err := netip.ParseAddrPort(address); err == nil {
		return ap.Addr().String()
	}
	return address
}

// ReceiveLoadReport processes an upstream's own report whether it is leaving. It returns true
// if the upstream's entry changed.
func (d *Drainer) ReceiveLoadReport(now time.Time, id messenger.UpstreamID, leaving bool) bool {
	return d.setLeaving(now, key{id, SourceLoadReport}, leaving)
}

// setLeaving processes a report that this router received from a source, not from another
// router. It returns true if the entry changed.
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

// confirmStay records a report that an upstream stays, and reports whether there have been
// such reports for stayConfirmTime.
func (e *entry) confirmStay(now time.Time) bool {
	if e.stayingSince.IsZero() {
		e.stayingSince = now
	}
	return now.Sub(e.stayingSince) >= stayConfirmTime
}

// Receive processes the updates and the checksum of another router. It returns true if any
// entry changed. If the checksum differs from that of this router, the next messages carry all
// entries.
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

// NextUpdates returns the updates to send with the next message. Each change is sent
// updateRepeats times; changes that were sent least often come first. If a peer had a different
// checksum, the rest of the message is filled with all entries in turn.
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

// hasUpdates reports whether there may be updates to send.
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

// configuredEntries returns the entries of configured upstreams, sorted.
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

// Checksum returns the checksum of the entries of configured upstreams. It is equal on two
// routers with the same entries for the same configured upstreams.
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

// Leaving reports whether any source reports that an upstream is leaving.
func (d *Drainer) Leaving(id messenger.UpstreamID) bool {
	for _, s := range []Source{SourceVMList, SourceLoadReport} {
		if e, ok := d.entries[key{id, s}]; ok && e.Leaving {
			return true
		}
	}
	return false
}

// Overlay returns a copy of the policy in which Leaving is also set for the upstreams that a
// source reports as leaving. The policy itself is not changed.
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
