package registrar

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Table is the store table that holds one row for each router.
const Table = "members"

// Intervals and timeouts of calls to the platform.
const (
	// renewInterval is the average time between two writes of a router's own row.
	renewInterval = 5 * time.Minute
	// rowTTL is the age at which a row that was not renewed counts as expired.
	rowTTL = 3 * renewInterval
	// rowsReadInterval is the average time between two reads of the rows.
	rowsReadInterval = time.Minute
	// vmsReadInterval is the average time between two reads of the list of VMs by the fleet as
	// a whole. Each router waits that long times the number of routers.
	vmsReadInterval = 500 * time.Millisecond
	// retryInterval is the average delay before a failed call is repeated.
	retryInterval = 5 * time.Second
	// answerTimeout is how long to wait for a call's answer.
	answerTimeout = 30 * time.Second
)

// platform is the state read from the platform.
type platform struct {
	cursor uint64
	rows   map[messenger.RouterID]memberRow
	// vmNames holds the names in the newest list of VMs; nil if none was read yet.
	vmNames map[string]bool

	nextWrite, nextRowsRead, nextVMsRead time.Time
}

// memberRow is the version of a router's row and the time when this router first saw it.
type memberRow struct {
	version   uint64
	firstSeen time.Time
}

// duePlatformCalls returns the calls to the platform that are due.
func (r *Registrar) duePlatformCalls(now time.Time) []Action {
	p := &r.platform
	var actions []Action
	if !now.Before(p.nextWrite) {
		p.nextWrite = now.Add(answerTimeout)
		actions = append(actions, WriteRow{Op: r.ownRowWrite()})
	}
	if !now.Before(p.nextRowsRead) {
		p.nextRowsRead = now.Add(answerTimeout)
		actions = append(actions, ReadRows{Since: p.cursor})
	}
	if !now.Before(p.nextVMsRead) {
		p.nextVMsRead = now.Add(answerTimeout)
		actions = append(actions, ReadVMs{})
	}
	return actions
}

// ownRowWrite returns the write of this router's own row. It needs no version condition, as
// other routers only delete the row, once it has expired.
func (r *Registrar) ownRowWrite() storer.Op {
	m := r.self
	value, err := json.Marshal(rowValue{Address: m.Address, Domain: m.Domain, Incarnation: m.Incarnation})
	if err != nil {
		panic(err) // all fields can be marshalled
	}
	return storer.Op{Table: Table, Key: string(m.Router), Value: value, Always: true}
}

// rowValue is the stored value of a row.
type rowValue struct {
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
}

func (p *platform) deletion(id messenger.RouterID) storer.Op {
	return storer.Op{Table: Table, Key: string(id), Delete: true, Always: true}
}

// jitter returns a random duration between half of d and one and a half of d.
func (r *Registrar) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

func (r *Registrar) rowWritten(now time.Time, e RowWritten) {
	if e.Op.Key != string(r.self.Router) {
		return
	}
	if e.Err != nil {
		r.platform.nextWrite = now.Add(r.jitter(retryInterval))
		return
	}
	r.platform.nextWrite = now.Add(r.jitter(renewInterval))
}

// rowsRead applies the rows that changed and removes an expired row.
func (r *Registrar) rowsRead(now time.Time, e RowsRead) []Action {
	p := &r.platform
	if e.Err != nil {
		p.nextRowsRead = now.Add(r.jitter(retryInterval))
		return nil
	}
	p.nextRowsRead = now.Add(r.jitter(rowsReadInterval))
	for _, row := range e.Rows {
		p.cursor = max(p.cursor, row.Version)
		r.mergeRow(now, row)
	}
	return r.removeExpiredRow(now)
}

func (r *Registrar) mergeRow(now time.Time, row storer.Row) {
	id := messenger.RouterID(row.Key)
	if row.Deleted {
		delete(r.platform.rows, id)
		return
	}
	var v rowValue
	if json.Unmarshal(row.Value, &v) != nil {
		return
	}
	r.platform.rows[id] = memberRow{version: row.Version, firstSeen: now}
	r.mergeMember(now, Member{Router: id, Address: v.Address, Domain: v.Domain, Incarnation: v.Incarnation})
}

// removeExpiredRow deletes one row that was not renewed, if this router has the lowest id of
// the members that are not dead. The version condition keeps a row that is renewed at the same
// time.
func (r *Registrar) removeExpiredRow(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(r.platform.rows)) {
		row := r.platform.rows[id]
		if id == r.self.Router || now.Sub(row.firstSeen) < rowTTL || !r.hasLowestID() {
			continue
		}
		delete(r.platform.rows, id)
		return []Action{WriteRow{Op: storer.Op{Table: Table, Key: string(id), Delete: true, IfVersion: row.version}}}
	}
	return nil
}

func (r *Registrar) hasLowestID() bool {
	ids := r.aliveOrSuspect()
	return len(ids) == 0 || r.self.Router < ids[0]
}

func (r *Registrar) vmsRead(now time.Time, e VMsRead) {
	p := &r.platform
	if e.Err != nil {
		p.nextVMsRead = now.Add(r.jitter(retryInterval))
		return
	}
	p.nextVMsRead = now.Add(r.jitter(max(time.Second, time.Duration(len(r.members)+1)*vmsReadInterval)))
	p.vmNames = make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		p.vmNames[vm.Name] = true
	}
}

// confirmedGone reports whether the platform confirms that a router is gone: its row has
// expired, or the list of VMs contains this router but not that one.
func (r *Registrar) confirmedGone(now time.Time, id messenger.RouterID) bool {
	p := &r.platform
	if p.vmNames[string(r.self.Router)] && !p.vmNames[string(id)] {
		return true
	}
	row, ok := p.rows[id]
	return ok && now.Sub(row.firstSeen) >= rowTTL
}

// canRemove reports whether a dead member need not be counted any more.
func (r *Registrar) canRemove(now time.Time, m *member) bool {
	if m.Status == Left {
		return now.Sub(m.statusSince) >= retentionTime
	}
	return now.Sub(m.statusSince) >= suspicionTimeout && r.confirmedGone(now, m.Router) ||
		now.Sub(m.statusSince) >= retentionTime
}

// reportPeers returns the state of the fleet if it has changed since the last report.
func (r *Registrar) reportPeers(now time.Time) []Action {
	if !r.changed {
		return nil
	}
	r.changed = false
	c := r.view(now)
	if c.KnownCount == r.reported.KnownCount && slices.Equal(c.Live, r.reported.Live) && slices.Equal(c.Reachable, r.reported.Reachable) {
		return nil
	}
	r.reported = c
	return []Action{c}
}

// view returns the fleet as this router sees it. A dead member is left out of Live only if
// this router reaches more than half of the fleet or the platform confirms that the member is
// gone.
func (r *Registrar) view(now time.Time) PeersChange {
	c := PeersChange{KnownCount: 1}
	isolated := now.Sub(r.lastReceived) >= isolationTimeout
	var dead []messenger.RouterID
	for _, id := range r.ids {
		m := r.members[id]
		switch m.Status {
		case Left:
			continue
		case Dead:
			dead = append(dead, id)
		default:
			if !m.Leaving {
				c.Live = append(c.Live, id)
			}
			if !isolated {
				c.Reachable = append(c.Reachable, id)
			}
		}
		c.KnownCount++
	}
	if 2*(len(c.Reachable)+1) <= c.KnownCount {
		for _, id := range dead {
			if !r.confirmedGone(now, id) {
				c.Live = append(c.Live, id)
			}
		}
	}
	if !r.self.Leaving {
		c.Live = append(c.Live, r.self.Router)
	}
	slices.Sort(c.Live)
	return c
}
