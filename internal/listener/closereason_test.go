package listener

import (
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// awaitLogEntry waits for the log line of an event and returns its fields.
func awaitLogEntry(t *testing.T, hook *test.Hook, event string) logrus.Fields {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == event {
				return e.Data
			}
		}
	}
	t.Fatalf("got no log line with event=%s", event)
	return nil
}

func TestLogNamesSideThatClosedConnWithoutResponse(t *testing.T) {
	started := make(chan struct{}, 1)
	for _, tc := range []struct {
		name, event  string
		handler      Handler
		callerCloses bool
		raw          string
		side         Side
		cause        string
	}{
		{"response aborted", eventConnectionEnded, func(*Caller, *http.Request) { panic(http.ErrAbortHandler) }, false, rawGetKeepAlive, SideRouter, causeAborted},
		{"caller disconnects", eventConnectionEnded, func(c *Caller, _ *http.Request) { started <- struct{}{}; <-c.Done() }, true, rawGetKeepAlive, SideCaller, "EOF"},
		{"request pipelined behind a closing response", eventRequestDropped, func(c *Caller, _ *http.Request) { c.CloseAfterResponse() }, false, rawGetKeepAlive + rawGetKeepAlive, SideRouter, causeResponded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log, hook := test.NewNullLogger()
			l := startListener(t, Config{Handler: tc.handler, Log: log})
			conn := dial(t, l)
			sendRaw(t, conn, tc.raw)
			if tc.callerCloses {
				<-started
				_ = conn.Close()
			}
			got := awaitLogEntry(t, hook, tc.event)
			if got["side"] != tc.side || got["cause"] != tc.cause || got["requests"] != 1 {
				t.Errorf("got side %v, cause %v, requests %v, want %v, %v, 1", got["side"], got["cause"], got["requests"], tc.side, tc.cause)
			}
		})
	}
}
