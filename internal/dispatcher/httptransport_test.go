package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// readBytes is the size of the read buffer for a body.
const readBytes = 4 << 10

// httpTransport is a transport based on net/http.
type httpTransport struct {
	pooled, fresh *http.Transport
}

func newHTTPTransport(idle time.Duration) *httpTransport {
	return &httpTransport{
		pooled: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: idle},
		fresh:  &http.Transport{DisableCompression: true, DisableKeepAlives: true},
	}
}

// Start begins an exchange.
func (t *httpTransport) Start(x *exchange, out *upstreamRequest) {
	go t.runExchange(x, out)
}

// Retire closes all idle connections, because net/http cannot select them by address.
func (t *httpTransport) Retire(string) { t.pooled.CloseIdleConnections() }

// Close closes all idle connections.
func (t *httpTransport) Close() { t.pooled.CloseIdleConnections() }

func (t *httpTransport) runExchange(x *exchange, out *upstreamRequest) {
	var once sync.Once
	wake := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	resume := func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	if !x.setControl(control{stop: stop, resume: resume}) {
		return
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { once.Do(func() { x.markSent(time.Now()) }) },
	})
	req, err := http.NewRequestWithContext(ctx, out.method, "http://"+out.address+out.uri, bytes.NewReader(out.body))
	if err != nil {
		x.finish(err)
		return
	}
	req.Header = out.header
	rt := t.pooled
	if out.newConn {
		rt = t.fresh
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		x.finish(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	x.setHead(resp.StatusCode, resp.Header, false)
	buf := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && !x.addBody(buf[:n]) {
			select {
			case <-wake:
			case <-ctx.Done():
			}
		}
		if err == io.EOF {
			x.finish(nil)
			return
		}
		if err != nil {
			x.finish(err)
			return
		}
	}
}
