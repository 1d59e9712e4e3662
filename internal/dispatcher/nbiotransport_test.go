package dispatcher

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// nbioTransport is a transport that uses nbio connections and nbhttp's parser in client
// mode. It is the alternative compared in docs/design/upstream-connections.md.
type nbioTransport struct {
	engine *nbio.Engine
	parser *nbhttp.Engine
	mu     sync.Mutex
	idle   map[string][]*nbio.Conn
}

func newNbioTransport() (*nbioTransport, error) {
	t := &nbioTransport{
		engine: nbio.NewEngine(nbio.Config{NPoller: 2}),
		parser: nbhttp.NewEngine(nbhttp.Config{}),
		idle:   make(map[string][]*nbio.Conn),
	}
	t.engine.OnData(func(c *nbio.Conn, data []byte) {
		if err := c.Session().(*nbhttp.Parser).Parse(data); err != nil {
			_ = c.CloseWithError(err)
		}
	})
	t.engine.OnClose(func(c *nbio.Conn, err error) {
		if p, ok := c.Session().(*nbhttp.Parser); ok {
			p.CloseAndClean(err)
		}
	})
	return t, t.engine.Start()
}

func (t *nbioTransport) Retire(string) {}

func (t *nbioTransport) Close() { t.engine.Stop() }

func (t *nbioTransport) Start(x *exchange, out *upstreamRequest) {
	go func() {
		req, err := http.NewRequest(out.method, "http://"+out.address+out.uri, bytes.NewReader(out.body))
		if err != nil {
			x.finish(err)
			return
		}
		req.Header = out.header
		conn, err := t.connect(out)
		if err != nil {
			x.finish(err)
			return
		}
		conn.Session().(*nbhttp.Parser).Processor.(*nbioProcessor).begin(x)
		if !x.setControl(control{stop: func() { _ = conn.Close() }}) || !x.markSent(time.Now()) {
			_ = conn.Close()
			return
		}
		var rawRequest bytes.Buffer
		if err := req.Write(&rawRequest); err != nil {
			x.finish(err)
			return
		}
		if _, err := conn.Write(rawRequest.Bytes()); err != nil {
			x.finish(err)
		}
	}()
}

func (t *nbioTransport) connect(out *upstreamRequest) (*nbio.Conn, error) {
	t.mu.Lock()
	if conns := t.idle[out.address]; len(conns) > 0 && !out.newConn {
		conn := conns[len(conns)-1]
		t.idle[out.address] = conns[:len(conns)-1]
		t.mu.Unlock()
		return conn, nil
	}
	t.mu.Unlock()
	nc, err := net.DialTimeout("tcp", out.address, time.Second)
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(nc)
	if err != nil {
		return nil, err
	}
	p := &nbioProcessor{returnToPool: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.idle[out.address] = append(t.idle[out.address], conn)
	}}
	conn.SetSession(nbhttp.NewParser(conn, t.parser, p, true, nil))
	_, err = t.engine.AddConn(conn)
	return conn, err
}

// nbioProcessor passes the parser's results to an exchange and calls returnToPool after each
// complete response.
type nbioProcessor struct {
	mu           sync.Mutex
	x            *exchange
	header       http.Header
	status       int
	returnToPool func()
}

func (p *nbioProcessor) begin(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.x, p.header = x, make(http.Header)
}

func (p *nbioProcessor) current() *exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.x
}

func (p *nbioProcessor) OnMethod(*nbhttp.Parser, string)            {}
func (p *nbioProcessor) OnURL(*nbhttp.Parser, string) error         { return nil }
func (p *nbioProcessor) OnProto(*nbhttp.Parser, string) error       { return nil }
func (p *nbioProcessor) OnStatus(_ *nbhttp.Parser, c int, _ string) { p.status = c }
func (p *nbioProcessor) OnHeader(_ *nbhttp.Parser, k, v string)     { p.header.Add(k, v) }
func (p *nbioProcessor) OnContentLength(*nbhttp.Parser, int) {
	p.current().setHead(p.status, p.header, false)
}

func (p *nbioProcessor) OnBody(_ *nbhttp.Parser, data []byte) error {
	p.current().addBody(data)
	return nil
}
func (p *nbioProcessor) OnTrailerHeader(*nbhttp.Parser, string, string) {}
func (p *nbioProcessor) OnComplete(*nbhttp.Parser) {
	x := p.current()
	p.returnToPool()
	x.finish(nil)
}

func (p *nbioProcessor) Close(_ *nbhttp.Parser, err error) {
	if x := p.current(); x != nil {
		if err == nil {
			err = net.ErrClosed
		}
		x.finish(err)
	}
}
func (p *nbioProcessor) Clean(*nbhttp.Parser) {}
