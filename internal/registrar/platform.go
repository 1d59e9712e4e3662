package registrar

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Table is the table that holds one row for each router.
const Table = "members"

// Times of the traffic with the platform.
const (
	// renewInterval is the time between two writes of a router's own row.
	renewInterval = 5 * time.Minute
	// lapseTime is when a row that is not renewed no longer counts.
	lapseTime = 3 * renewInterval
	// rowsInterval is the time between two reads of the rows.
	rowsInterval = time.Minute
	// listInterval is the time between two reads of the list of VMs by the
	// whole fleet; each router waits that long for every router there is.
	listInterval = 500 * time.Millisecond
	// retryInterval is the time before a failed call is made again.
	retryInterval = 5 * time.Second
	// answerTimeout is when a call without an answer is given up.
	answerTimeout = 30 * time.Second
)

// platform is what is known from the platform.
type platform struct {
	cursor uint64
	rows   map[messenger.RouterID]memberRow
	// listed holds the names in the newest list of VMs; nil if none was read.
	listed map[string]bool

	nextWrite, nextRows, nextList time.Time
}

// memberRow is a router's row and when this router first saw its version.
type memberRow struct {
	version uint64
	seen    time.Time
}

// platformDue asks for the calls that are due.
func (r *Registrar) platformDue(now time.Time) []Action {
	p := &r.platform
	var actions []Action
	if !now.Before(p.nextWrite) {
		p.nextWrite = now.Add(answerTimeout)
		actions = append(actions, WriteRow{Op: r.row()})
	}
	if !now.Before(p.nextRows) {
		p.nextRows = now.Add(answerTimeout)
		actions = append(actions, ReadRows{Since: p.cursor})
	}
	if !now.Before(p.nextList) {
		p.nextList = now.Add(answerTimeout)
		actions = append(actions, ReadVMs{})
	}
	return actions
}

// row returns the write of this router's own row. Nobody else writes it but to
// remove it once it has lapsed, so it needs no condition.
func (r *Registrar) row() storer.Op {
	m := r.self
	value, err := json.Marshal(rowValue{Address: m.Address, Domain: m.Domain, Incarnation: m.Incarnation})
	if err != nil {
		panic(err) // every field can be written
	}
	return storer.Op{Table: Table, Key: string(m.Router), Value: value, Always: true}
}

// rowValue is the value of a row.
type rowValue struct {
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
}

func (p *platform) deletion(id messenger.RouterID) storer.Op {
	return storer.Op{Table: Table, Key: string(id), Delete: true, Always: true}
}

// jitter returns a random time of d on average.
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

// rowsRead takes the rows that changed, and removes rows that have lapsed.
func (r *Registrar) rowsRead(now time.Time, e RowsRead) []Action {
	p := &r.platform
	if e.Err != nil {
		p.nextRows = now.Add(r.jitter(retryInterval))
		return nil
	}
	p.nextRows = now.Add(r.jitter(rowsInterval))
	for _, row := range e.Rows {
		p.cursor = max(p.cursor, row.Version)
		r.takeRow(now, row)
	}
	return r.removeLapsed(now)
}

func (r *Registrar) takeRow(now time.Time, row storer.Row) {
	id := messenger.RouterID(row.Key)
	if row.Deleted {
		delete(r.platform.rows, id)
		return
	}
	var v rowValue
	if json.Unmarshal(row.Value, &v) != nil {
		return
	}
	r.platform.rows[id] = memberRow{version: row.Version, seen: now}
	r.learn(now, Member{Router: id, Address: v.Address, Domain: v.Domain, Incarnation: v.Incarnation})
}

// removeLapsed removes one row that nobody renews, if this router is the first
// of those that are alive. The condition keeps a row that is renewed just then.
func (r *Registrar) removeLapsed(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(r.platform.rows)) {
		row := r.platform.rows[id]
		if id == r.self.Router || now.Sub(row.seen) < lapseTime || !r.firstAlive() {
			continue
		}
		delete(r.platform.rows, id)
		return []Action{WriteRow{Op: storer.Op{Table: Table, Key: string(id), Delete: true, IfVersion: row.version}}}
	}
	return nil
}

func (r *Registrar) firstAlive() bool {
	ids := r.reachable()
	return len(ids) == 0 || r.self.Router < ids[0]
}

func (r *Registrar) vmsRead(now time.Time, e VMsRead) {
	p := &r.platform
	if e.Err != nil {
		p.nextList = now.Add(r.jitter(retryInterval))
		return
	}
	p.nextList = now.Add(r.jitter(max(time.Second, time.Duration(len(r.members)+1)*listInterval)))
	p.listed = make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		p.listed[vm.Name] = true
	}
}

// confirmedGone reports whether the platform knows nothing of a router: its
// row is gone or lapsed, or the list, which names other routers, lacks it.
func (r *Registrar) confirmedGone(now time.Time, id messenger.RouterID) bool {
	p := &r.platform
	if p.listed[string(r.self.Router)] && !p.listed[string(id)] {
		return true
	}
	row, ok := p.rows[id]
	return ok && now.Sub(row.seen) >= lapseTime
}

// forgettable reports whether a dead member need not be counted any more.
func (r *Registrar) forgettable(now time.Time, m *member) bool {
	if m.Status == Left {
		return now.Sub(m.since) >= forgetTime
	}
	return now.Sub(m.since) >= suspicionTime && r.confirmedGone(now, m.Router) ||
		now.Sub(m.since) >= forgetTime
}

// report says who is in the fleet, if that has changed.
func (r *Registrar) report(now time.Time) []Action {
	if !r.changed {
		return nil
	}
	r.changed = false
	c := r.view(now)
	if c.KnownCount == r.told.KnownCount && slices.Equal(c.Live, r.told.Live) && slices.Equal(c.Reachable, r.told.Reachable) {
		return nil
	}
	r.told = c
	return []Action{c}
}

// view returns the fleet as this router sees it. Dead members are left out of
// Live only if it reaches most of the fleet, or the platform confirms it.
func (r *Registrar) view(now time.Time) PeersChange {
	c := PeersChange{KnownCount: 1}
	cut := now.Sub(r.answered) >= cutTimeout
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
			if !cut {
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
