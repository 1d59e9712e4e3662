package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is sent.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[[3]string]row
	changed chan struct{}
}

// startStore serves a store on a free port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), started: time.Now(), rows: make(map[[3]string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go http.Serve(ln, mux) //nolint:errcheck,gosec // ends with the process
	return s, nil
}

// put writes a row as the operator or a worker does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, RowVersion: s.version, Deleted: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.write(r)
}

func (s *store) write(r row) {
	s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, rows []row, more bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

// since returns the rows of a table that changed after a version.
func (s *store) since(table string, version uint64, deleted bool) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.RowVersion > version && (deleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows, version := s.since(q.Get("table"), 0, false), s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	kept := []row{}
	for _, r := range rows {
		if r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			kept = append(kept, r)
		}
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	more := len(kept) > limit
	s.reply(w, kept[:min(limit, len(kept))], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.since(q.Get("table"), since, true), s.version, s.changed
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
		if len(rows) > 0 {
			s.reply(w, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			s.reply(w, rows, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		http.Error(w, "not a transaction", http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row(nil), tx.Puts...), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if current := s.rows[[3]string{e.Table, e.Part, e.Key}]; !current.Deleted && current.RowVersion != e.RowVersion {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, []row{current}, false, s.version)
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		p.RowVersion = s.version
		s.write(p)
	}
	for _, p := range tx.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, RowVersion: s.version, Deleted: true})
	}
	s.reply(w, []row{}, false, s.version)
}

// hostPort joins a loopback port.
func portOf(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
