package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

var attemptCount atomic.Int64

// newAttemptID returns the id of a client attempt.
func newAttemptID() string {
	return fmt.Sprintf("%016x", attemptCount.Add(1)*0x9e3779b97f4a7c1&0x7fffffffffffffff)
}

// call is a request of a client.
type call struct {
	method, target, id, key string
	deadline                time.Duration
	// headers are further lines of the head, each with its line break.
	headers string
	body    string
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// served reports whether the client got the whole answer of a worker.
func (r reply) served() bool {
	return r.err == nil && r.status == http.StatusOK && r.header.Get("Lentilwood-Response-Seal") != ""
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprint("status ", r.status)
}

// head is the head of the request as a client sends it.
func (c call) head() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nLentilwood-Attempt-Id: %s\r\nLentilwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		c.method, c.target, host, c.id, c.deadline.Milliseconds(), c.key)
	b.WriteString(c.headers)
	if c.body != "" {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send makes a call on a new connection.
func send(address string, c call) reply {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer conn.Close()
	return sendOn(conn, bufio.NewReader(conn), c)
}

// sendOn makes a call on a connection.
func sendOn(conn net.Conn, reader *bufio.Reader, c call) reply {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(c.deadline))
	r := reply{}
	if _, r.err = io.WriteString(conn, c.head()+c.body); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		r.err, r.took = err, time.Since(began)
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.header, r.body, r.err, r.took = resp.StatusCode, resp.Header, string(body), err, time.Since(began)
	return r
}

// ask makes a plain GET on a new connection.
func ask(address, path string, limit time.Duration) (int, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
