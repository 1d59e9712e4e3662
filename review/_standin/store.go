package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// transaction is the body of POST /rows-tx.
type transaction struct {
	Conditions []row `json:"expectedRev"`
	Puts       []row `json:"puts"`
	Remove     []row `json:"remove"`
}

// store is a stand-in of the platform's store: rows, transactions and the feed of changes. It
// loses nothing and keeps its whole history.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	return s, nil
}

func nameOf(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: text})
	s.wake()
}

// remove deletes a row for a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

func (s *store) write(r row) {
	r.RowVersion = s.version
	s.rows[nameOf(r.Table, r.Part, r.Key)] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// selectRows returns rows of a table that are newer than a version.
func (s *store) selectRows(table string, since uint64, deleted bool) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.RowVersion > since && (deleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []row
	for _, r := range s.selectRows(q.Get("table"), 0, false) {
		if r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, more, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.selectRows(q.Get("table"), since, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range append(append([]row{}, t.Puts...), t.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	failed, current := false, []row{}
	for _, c := range t.Conditions {
		now := s.rows[nameOf(c.Table, c.Part, c.Key)]
		version := now.RowVersion
		if now.Deleted {
			version = 0
		} else if version > 0 {
			current = append(current, now)
		}
		failed = failed || version != c.RowVersion
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range t.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false, s.version)
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": time.Since(s.began).Milliseconds(),
	})
}
