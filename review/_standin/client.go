package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41000000000000+lastID.Add(1)) }

// request is what a client sends.
type request struct {
	id, method, path, host string
	deadline               time.Duration
	prefix, tokens         string
	body                   string
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// complete is true if the answer was received to its end, err what else ended it.
	complete bool
	err      error
	// kept is true if the connection had carried another request before, closes if the router
	// closes it after the answer.
	kept, closes bool
	took         time.Duration
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nLentilwood-Attempt-Id: %s\r\nAuthorization: Token key-a\r\n", r.method, r.path, r.host, r.id)
	if r.deadline > 0 {
		fmt.Fprintf(&b, "Lentilwood-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	}
	if r.prefix != "" {
		fmt.Fprintf(&b, "Lentilwood-Model: m\r\nLentilwood-Prompt-Prefix: %s\r\nLentilwood-Token-Usage: %s\r\n", r.prefix, r.tokens)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// keptConn is a client's connection that stays open between requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

// send sends a request on a kept connection, or on a new one if there is none, and reads the
// answer.
func (f *fleet) send(rt *router, r request) answer {
	start := time.Now()
	conn, err := rt.takeConn()
	if err != nil {
		f.record.note("request %s: no connection to %s: %v", r.id, rt.name, err)
		return answer{err: err}
	}
	f.record.note("request %s %s %s is sent to %s", r.id, r.method, r.path, rt.name)
	a := exchange(conn, r)
	a.took = time.Since(start)
	a.kept = conn.used > 0
	f.record.note("request %s is answered %d, complete %v, seal %q, %d bytes, %v", r.id, a.status, a.complete, a.header.Get("Lentilwood-Response-Seal"), len(a.body), a.err)
	if a.complete && !a.closes {
		conn.used++
		rt.keepConn(conn)
		return a
	}
	_ = conn.Close()
	return a
}

// takeConn returns an open connection to a router.
func (r *router) takeConn() (*keptConn, error) {
	for {
		r.mu.Lock()
		n := len(r.idle)
		var conn *keptConn
		if n > 0 {
			conn = r.idle[n-1]
			r.idle = r.idle[:n-1]
		}
		r.mu.Unlock()
		if conn == nil {
			break
		}
		if !isGone(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

func (r *router) keepConn(c *keptConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = append(r.idle, c)
}

func exchange(conn *keptConn, r request) answer {
	limit := r.deadline
	if limit <= 0 {
		limit = 20 * time.Second
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	defer conn.SetDeadline(time.Time{}) //nolint:errcheck // the connection may be closed
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
	var body bytes.Buffer
	_, a.err = io.Copy(&body, resp.Body)
	_ = resp.Body.Close()
	a.body, a.complete = body.Bytes(), a.err == nil
	return a
}
