package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker stands in for a worker of a service.
type worker struct {
	store   *store
	record  *record
	service string
	id      string
	slots   int
	address string
	// serve answers a request. It returns false if the connection must not be used again.
	serve func(w *worker, c *workerConn, r *http.Request, body []byte) bool

	mu    sync.Mutex
	born  int64
	ln    net.Listener
	conns map[net.Conn]bool
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	// served is the number of requests that were answered on the connection.
	served int
}

// reset closes the connection with a reset.
func (c *workerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// start opens the worker's port and registers it.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = freeAddress()
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ln, w.conns, w.born, w.address = ln, make(map[net.Conn]bool), time.Now().UnixMilli(), ln.Addr().String()
	w.mu.Unlock()
	w.register("ready")
	go w.accept(ln)
	return nil
}

// register writes the worker's row.
func (w *worker) register(state string) {
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": w.slots,
		"state": state, "coldLeftMs": 0, "callSeq": 0, "born": w.born,
	})
}

// crash closes the worker's port and its connections, as the end of its process does.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.ln.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.conns = make(map[net.Conn]bool)
}

func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serveConn(&workerConn{Conn: c})
	}
}

func (w *worker) serveConn(c *workerConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, r, body) {
			return
		}
		c.served++
	}
}

func (w *worker) answer(c *workerConn, r *http.Request, body []byte) bool {
	if r.URL.Path == "/healthz" {
		return writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nLentilwood-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	}
	if want := r.Header.Get("Lentilwood-Expect-Instance"); want != "" && want != w.id {
		return writeText(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nLentilwood-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	}
	w.record.arrived(w, r)
	return w.serve(w, c, r, body)
}

func writeText(c io.Writer, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func attemptID(r *http.Request) string { return r.Header.Get("Lentilwood-Attempt-Id") }

func seal(w *worker, id string) string { return w.id + "." + id }

// plainAnswer answers a request with a body of a known length.
func plainAnswer(w *worker, c *workerConn, r *http.Request, status int, body string) bool {
	id := attemptID(r)
	return writeText(c, fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nLentilwood-Attempt-Id: %s\r\nLentilwood-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, seal(w, id), len(body), body))
}

// streamHead returns the head of an event stream; framing is a header line or "".
func streamHead(w *worker, id, framing string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLentilwood-Attempt-Id: %s\r\nLentilwood-Response-Seal: %s\r\n%s\r\n",
		id, seal(w, id), framing)
}

// chunk encodes a part of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event returns one event of a stream.
func event(n int, request string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, request)
}

// isGone reports whether the other end has closed or reset the connection.
func isGone(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

func lastEventID(r *http.Request) int {
	n := 0
	_, _ = fmt.Sscanf(strings.TrimSpace(r.Header.Get("Last-Event-Id")), "%d", &n)
	return n
}
