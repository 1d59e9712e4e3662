package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// arrival is a request as a worker got it.
type arrival struct {
	id, worker, path string
	at               time.Time
}

// record writes down what was sent, answered and run.
type record struct {
	start time.Time

	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note adds a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLine(format, args...)
}

func (r *record) writeLine(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say is note, and prints the line as well.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// arrived records a request that a worker has read.
func (r *record) arrived(w *worker, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id: attemptID(req), worker: w.id, path: req.URL.Path, at: time.Now()})
	r.writeLine("request %s %s reaches worker %s, last event %q", attemptID(req), req.URL.Path, w.id, req.Header.Get("Last-Event-Id"))
}

// all returns the arrivals so far.
func (r *record) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
