package listener

import (
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// lineOf waits for the line of an event and returns its fields.
func lineOf(t *testing.T, hook *test.Hook, event string) logrus.Fields {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == event {
				return e.Data
			}
		}
	}
	t.Fatalf("got no line with event=%s", event)
	return nil
}

func TestLogSaysWhoEndedAConnectionWithoutAnAnswer(t *testing.T) {
	begun := make(chan struct{}, 1)
	for _, tc := range []struct {
		name, event string
		handler     Handler
		leaves      bool
		raw         string
		side        Side
		cause       string
	}{
		{"answer broken off", eventConnectionEnded, func(*Caller, *http.Request) { panic(http.ErrAbortHandler) }, false, getKeep, SideRouter, causeAborted},
		{"caller leaves", eventConnectionEnded, func(c *Caller, _ *http.Request) { begun <- struct{}{}; <-c.Done() }, true, getKeep, SideCaller, "EOF"},
		{"request behind a closing answer", eventRequestDropped, func(c *Caller, _ *http.Request) { c.CloseAfterResponse() }, false, getKeep + getKeep, SideRouter, causeAnswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log, hook := test.NewNullLogger()
			l := start(t, Config{Handler: tc.handler, Log: log})
			conn := dial(t, l)
			send(t, conn, tc.raw)
			if tc.leaves {
				<-begun
				_ = conn.Close()
			}
			got := lineOf(t, hook, tc.event)
			if got["side"] != tc.side || got["cause"] != tc.cause || got["requests"] != 1 {
				t.Errorf("got side %v, cause %v, requests %v, want %v, %v, 1", got["side"], got["cause"], got["requests"], tc.side, tc.cause)
			}
		})
	}
}
