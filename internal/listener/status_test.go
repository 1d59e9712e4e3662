package listener

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// TestStatusWithoutStandardText guards against changing a status that has no standard text:
// a caller of an upstream that answers 520 must not get 500. An interim status is no response.
func TestStatusWithoutStandardText(t *testing.T) {
	serverConfig, clientConfig := tlsConfigs(t)
	handler := func(c *Caller, r *http.Request) {
		c.WriteHeader(http.StatusContinue)
		status, _ := strconv.Atoi(r.URL.Path[1:])
		if r.URL.Query().Get("length") != "" {
			c.Header().Set("Content-Length", "4")
		}
		c.WriteHeader(status)
		_, _ = io.WriteString(c, "bo")
		if r.URL.Query().Get("flush") != "" {
			c.Flush()
		}
		_, _ = io.WriteString(c, "dy")
	}
	plain, secure := startListener(t, Config{Handler: handler}), startListener(t, Config{Handler: handler, TLS: serverConfig})
	for _, request := range []string{
		"GET /520 HTTP/1.1", "GET /520?length=1 HTTP/1.1", "GET /520?flush=1 HTTP/1.1", "GET /520?length=1&flush=1 HTTP/1.1",
		"GET /520 HTTP/1.0", "HEAD /520 HTTP/1.1", "GET /299 HTTP/1.1", "GET /600 HTTP/1.1", "GET /999 HTTP/1.1", "GET /503 HTTP/1.1",
	} {
		for name, open := range map[string]func() (net.Conn, error){
			"plain": func() (net.Conn, error) { return net.Dial("tcp", plain.Addr()) },
			"TLS":   func() (net.Conn, error) { return tls.Dial("tcp", secure.Addr(), clientConfig) },
		} {
			t.Run(request+", "+name, func(t *testing.T) {
				conn, err := open()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close() //nolint:errcheck // a test
				br := bufio.NewReader(conn)
				for _, path := range []string{request, "GET /200 HTTP/1.1"} {
					sendRaw(t, conn, path+"\r\nHost: h\r\nConnection: keep-alive\r\n\r\n")
					checkStatus(t, br, path)
					if path[len(path)-1] == '0' {
						return // an HTTP/1.0 connection ends with its response
					}
				}
			})
		}
	}
}

// checkStatus reads a response and checks that it has the status that the request line names.
func checkStatus(t *testing.T, br *bufio.Reader, line string) {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "\r\nHost: h\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(br, req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	want, _ := strconv.Atoi(req.URL.Path[1:])
	if err != nil || res.StatusCode != want || req.Method == http.MethodGet && string(body) != "body" {
		t.Errorf("got status %d, body %q and error %v, want status %d", res.StatusCode, body, err, want)
	}
}
