package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// FuzzSplitter checks that no bytes of a stream are lost or reordered when it is split into
// events, whether it is read at once or in small steps.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n"), uint8(3))
	f.Add([]byte("id: 1\r\ndata: a\r\ndata: b\r\n\r\n: comment\n\n"), uint8(1))
	f.Add([]byte("\n\n\r\n\r\n\n"), uint8(2))
	f.Add([]byte("id: 18446744073709551616\ndata\n\nid:-1\n\n"), uint8(7))
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		var wholeEvents, steppedEvents bytes.Buffer
		var wholeSplitter, steppedSplitter sseSplitter
		wholeSplitter.push(data, func(e sseEvent) { wholeEvents.Write(e.raw) })
		n := int(step)%16 + 1
		for rest := data; len(rest) > 0; {
			k := min(n, len(rest))
			steppedSplitter.push(rest[:k], func(e sseEvent) { steppedEvents.Write(e.raw) })
			rest = rest[k:]
		}
		if !bytes.Equal(append(wholeEvents.Bytes(), wholeSplitter.rest...), data) {
			t.Errorf("events %q and rest %q do not add up to %q", wholeEvents.Bytes(), wholeSplitter.rest, data)
		}
		if !bytes.Equal(append(steppedEvents.Bytes(), steppedSplitter.rest...), data) {
			t.Errorf("in steps of %d: events %q and rest %q do not add up to %q", n, steppedEvents.Bytes(), steppedSplitter.rest, data)
		}
	})
}

// serveBytes serves req with an upstream that responds to every request with raw and
// closes the connection.
func serveBytes(t *testing.T, req *Request, raw []byte, engine bool) (Result, *fakeCaller) {
	t.Helper()
	network := &memoryNetwork{}
	network.listen("u", func(conn net.Conn) {
		go func() {
			defer func() { _ = conn.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = conn.Write(raw)
		}()
	})
	d := New(Config{
		Upstreams: fixedUpstreams{"u": {Address: "u", Engine: engine}}, Log: quietLog(), Dial: network.dial,
		MaxAttempts: 1, MaxResponseBytes: 1 << 16,
	})
	c := newFakeCaller()
	res := d.Serve(context.Background(), req, newFakeQueue("u"), c)
	d.background.Wait()
	d.Close()
	return res, c
}

// FuzzServiceAnswer checks that for any bytes a service writes, the caller gets either a
// complete response with the right id, or a problem whose run state is not "not-run".
func FuzzServiceAnswer(f *testing.F) {
	for _, a := range responses {
		f.Add([]byte(strings.Replace(a.raw, "\r\n", "\r\nX-Request-Id: "+wireID+"\r\n", 1)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		res, c := serveBytes(t, reservation(), raw, false)
		if c.status == 0 {
			t.Fatal("no response")
		}
		if res.Problem != "" {
			if p := problemOf(t, c); p.Run == messenger.StateNotRun {
				t.Errorf("run state is not-run although the request was sent; response %q", c.text())
			}
			return
		}
		resp, body := reference(raw)
		if resp == nil || resp.Header.Get(messenger.RequestIDHeader) != wireID || c.text() != string(body) || c.status != resp.StatusCode {
			t.Errorf("response = %d %q, want a problem or %q", c.status, c.text(), body)
		}
	})
}

// reference parses a response with net/http alone.
func reference(raw []byte) (*http.Response, []byte) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, nil
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, nil
		}
		return resp, body
	}
}

// FuzzEngineStream checks that for any bytes an engine streams, the caller gets
// consecutive events starting with the first, and an end that shows whether the stream is
// complete.
func FuzzEngineStream(f *testing.F) {
	whole := strings.Join(tokenEvents(wireID, 3), "")
	f.Add([]byte(whole))
	f.Add([]byte(whole[:len(whole)/2]))
	f.Add([]byte(strings.Replace(whole, "id: 2", "id: 1", 1)))
	f.Add([]byte(strings.Replace(whole, "id: 2", "id: 3", 1)))
	f.Add([]byte(strings.Replace(whole, "id: 2", "id: x", 1)))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte(": comment\n\n" + whole + whole))
	f.Fuzz(func(t *testing.T, stream []byte) {
		raw := append([]byte(head("200 OK", wireID, "Content-Type: text/event-stream", "Connection: close")), stream...)
		res, c := serveBytes(t, completion(), raw, true)
		text, _, marked := strings.Cut(c.text(), "event: error\ndata: {\"type\":\""+explainer.TypePrefix)
		if c.status != http.StatusOK {
			problemOf(t, c)
			return
		}
		var last uint64
		done := false
		var split sseSplitter
		split.push([]byte(text), func(e sseEvent) {
			if e.hasID && e.id != last+1 {
				t.Errorf("event %d after %d in %q", e.id, last, text)
			}
			last = e.id
			done = string(e.data) == doneData
		})
		if split.partial() {
			t.Errorf("incomplete event in %q", text)
		}
		if done == marked || done != (res.Problem == "") {
			t.Errorf("done %v, marked as broken %v, result %+v; response %q", done, marked, res, c.text())
		}
	})
}
