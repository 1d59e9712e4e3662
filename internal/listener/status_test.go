package listener

import (
	"bufio"
	"crypto/tls"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// answerStatus answers with the status that the path names, after an interim one.
func answerStatus(c *Caller, r *http.Request) {
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

// TestStatusWithoutStandardText guards against changing a status that has no standard text:
// a caller of an upstream that answers 520 must not get 500. An interim status is no response.
func TestStatusWithoutStandardText(t *testing.T) {
	l := startListener(t, Config{Handler: answerStatus})
	for _, line := range []string{
		"GET /520 HTTP/1.1", "GET /520?length=1 HTTP/1.1", "GET /520?flush=1 HTTP/1.1", "GET /520?length=1&flush=1 HTTP/1.1",
		"GET /520 HTTP/1.0", "HEAD /520 HTTP/1.1", "GET /299 HTTP/1.1", "GET /600 HTTP/1.1", "GET /999 HTTP/1.1", "GET /503 HTTP/1.1",
	} {
		t.Run(line, func(t *testing.T) {
			conn := dial(t, l)
			br := bufio.NewReader(conn)
			sendRaw(t, conn, line+"\r\nHost: h\r\n\r\n")
			checkStatus(t, br, line)
			if strings.HasSuffix(line, "1.0") {
				return // the connection ends with the response
			}
			sendRaw(t, conn, "GET /200 HTTP/1.1\r\nHost: h\r\n\r\n")
			checkStatus(t, br, "GET /200 HTTP/1.1")
		})
	}
}

// TestStatusWithoutStandardTextOverTLS checks the same over TLS, where nbhttp has another
// connection below the response.
func TestStatusWithoutStandardTextOverTLS(t *testing.T) {
	serverConfig, clientConfig := tlsConfigs(t)
	l := startListener(t, Config{TLS: serverConfig, Handler: answerStatus})
	conn, err := tls.Dial("tcp", l.Addr(), clientConfig)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // a test
	sendRaw(t, conn, "GET /520 HTTP/1.1\r\nHost: h\r\n\r\n")
	checkStatus(t, bufio.NewReader(conn), "GET /520 HTTP/1.1")
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
