package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

func mixOf(streams ...Stream) Mix {
	for i := range streams {
		streams[i].Account = "riga-1"
		streams[i].Class = "short"
		streams[i].Token = loader.NewSecret("secret-token")
	}
	return Mix{Streams: streams}
}

func TestArrivalsRepeatWithTheSeed(t *testing.T) {
	mix := mixOf(Stream{Rate: 100, Tokens: Range{1, 9}, HintError: 3}, Stream{Rate: 10, From: time.Second, Until: 2 * time.Second})
	mix.setDefaults()
	draw := func(seed uint64) []arrival {
		var all []arrival
		s := newSchedule(&mix, seed, "run", 3, 10*time.Second)
		for a, ok := s.take(); ok; a, ok = s.take() {
			all = append(all, a)
		}
		return all
	}
	first, again, other := draw(1), draw(1), draw(2)
	if fmt.Sprint(first) != fmt.Sprint(again) {
		t.Error("the same seed gives other arrivals, want the same")
	}
	if fmt.Sprint(first) == fmt.Sprint(other) {
		t.Error("another seed gives the same arrivals, want others")
	}
	if got := len(first); got < 900 || got > 1120 {
		t.Errorf("got %d arrivals in 10 s at 100/s and 10/s for 1 s, want about 1010", got)
	}
	for i, a := range first {
		if i > 0 && a.at < first[i-1].at {
			t.Fatalf("arrival %d at %v is before the one ahead of it", i, a.at)
		}
		if a.stream == &mix.Streams[1] && (a.at < time.Second || a.at >= 2*time.Second) {
			t.Errorf("arrival at %v, want it between 1 s and 2 s", a.at)
		}
		if a.stream == &mix.Streams[0] && (a.hint < 1 || a.hint > 3*a.tokens) {
			t.Errorf("hint %d for %d tokens, want it off by a factor of 3 at most", a.hint, a.tokens)
		}
	}
}

func TestRepeatsGoThroughAnotherRouter(t *testing.T) {
	mix := mixOf(Stream{Kind: Commit, Rate: 50, Keyed: true, Repeat: 1})
	mix.setDefaults()
	s := newSchedule(&mix, 1, "run", 3, time.Second)
	first, _ := s.take()
	second, _ := s.take()
	if first.key != second.key || first.router == second.router || first.id == second.id || commitBody(first) != commitBody(second) {
		t.Errorf("got %+v and %+v, want the same key and body through another router", first, second)
	}
}

func TestStreamSpreadsOverAccounts(t *testing.T) {
	mix := mixOf(Stream{Rate: 1000, Accounts: 20})
	mix.setDefaults()
	s := newSchedule(&mix, 1, "run", 1, time.Second)
	tokens := map[string]int{}
	for a, ok := s.take(); ok; a, ok = s.take() {
		tokens[a.token]++
	}
	if len(tokens) != 20 || tokens["secret-token-1"] == 0 || tokens["secret-token-20"] == 0 {
		t.Errorf("got tokens %v, want secret-token-1 to -20", tokens)
	}
}

func TestRunAgainstStandIns(t *testing.T) {
	clock := timekeeper.System{}
	worker := emulator.NewWorker(emulator.WorkerConfig{Name: "w1", Instant: true}, clock)
	service := emulator.NewService(emulator.ServiceConfig{Name: "s1"}, clock)
	for _, standin := range []interface {
		Start(string) error
		Stop()
	}{worker, service} {
		if err := standin.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer standin.Stop()
	}
	for _, tt := range []struct {
		name, router string
		mix          Mix
	}{
		{"completions", worker.Addr(), mixOf(Stream{Rate: 2000, Prefixes: 3, Deadline: time.Minute}, Stream{Rate: 500, Whole: true})},
		{"service", service.Addr(), mixOf(Stream{Rate: 1000, Kind: Stock}, Stream{Rate: 500, Kind: Commit, Keyed: true})},
	} {
		report, err := Run(context.Background(), Config{
			Routers: []string{tt.router}, Mix: tt.mix, For: 10 * time.Second, MaxRequests: 200, Expect: StandIns{},
		})
		if err != nil {
			t.Fatal(err)
		}
		sum := report.Total()
		if sum.Sent != 200 || sum.Complete != 200 {
			t.Errorf("%s: %+v, want 200 complete answers; faults %v", tt.name, sum, report.Faults)
		}
	}
}

// answer is what the fake router says to one request.
func serveFake(answer func(w http.ResponseWriter, id string)) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(messenger.RequestIDHeader)
		w.Header().Set(messenger.RequestIDHeader, id)
		w.Header().Set(messenger.RunHeader, string(messenger.StateRun))
		answer(w, id)
	}))
}

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

func tokenEvent(request string, n int) string {
	return event(n, fmt.Sprintf(`{"text":%q}`, emulator.Text(request, n)))
}

func TestFaultyAnswersAreFound(t *testing.T) {
	usage := event(3, `{"usage":{"completionTokens":2}}`)
	done := event(4, "[DONE]")
	body := func(format func(id string) string) func(http.ResponseWriter, string) {
		return func(w http.ResponseWriter, id string) { _, _ = w.Write([]byte(format(id))) }
	}
	problem := func(status int, header, run messenger.RunState, retry string) func(http.ResponseWriter, string) {
		return func(w http.ResponseWriter, _ string) {
			w.Header().Set(messenger.RunHeader, string(header))
			if retry != "" {
				w.Header().Set("Retry-After", retry)
			}
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"type":"urn:lentilwood:problem:x","run":%q}`, run)
		}
	}
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, id string)
		want   Group
		fault  string
	}{
		{"whole", body(func(id string) string { return tokenEvent(id, 1) + tokenEvent(id, 2) + usage + done }), Group{Complete: 1, Tokens: 2}, ""},
		{"comments between events", body(func(id string) string { return ":\n\n" + tokenEvent(id, 1) + tokenEvent(id, 2) + usage + done }), Group{Complete: 1, Tokens: 2}, ""},
		{"other request's text", body(func(string) string { return tokenEvent("other", 1) }), Group{Wrong: 1, Tokens: 1}, "want"},
		{"event missing", body(func(id string) string { return tokenEvent(id, 1) + tokenEvent(id, 3) }), Group{Wrong: 1, Tokens: 1}, "event id"},
		{"event twice", body(func(id string) string { return tokenEvent(id, 1) + tokenEvent(id, 1) }), Group{Wrong: 1, Tokens: 1}, "event id"},
		{"too few tokens", body(func(id string) string { return tokenEvent(id, 1) + event(2, "[DONE]") }), Group{Wrong: 1, Tokens: 1}, "1 tokens, want 2"},
		{"more after the end", body(func(id string) string {
			return tokenEvent(id, 1) + tokenEvent(id, 2) + usage + done + event(5, "{}")
		}), Group{Wrong: 1, Tokens: 2}, "after [DONE]"},
		{"no end", body(func(id string) string { return tokenEvent(id, 1) }), Group{Cut: 1, Tokens: 1}, "ended before"},
		{"broken off", func(w http.ResponseWriter, id string) {
			_, _ = w.Write([]byte(tokenEvent(id, 1)))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Group{Cut: 1, Tokens: 1}, "EOF"},
		{"ended by the router", body(func(id string) string {
			return tokenEvent(id, 1) + "event: error\ndata: {\"type\":\"urn:lentilwood:problem:stream-broken\",\"run\":\"run\"}\n\n"
		}), Group{Cut: 1, Tokens: 1}, "stream-broken"},
		{"no answer", func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }, Group{Lost: 1}, "EOF"},
		{"other request's id", func(w http.ResponseWriter, _ string) { w.Header().Set(messenger.RequestIDHeader, "other") }, Group{Wrong: 1}, `request "other"`},
		{"own id of the router", func(w http.ResponseWriter, _ string) {
			w.Header().Set(messenger.FleetRequestIDHeader, "wire-1")
			_, _ = w.Write([]byte(tokenEvent("wire-1", 1) + tokenEvent("wire-1", 2) + usage + done))
		}, Group{Complete: 1, Tokens: 2}, ""},
		{"refused", problem(429, messenger.StateNotRun, messenger.StateNotRun, "3"), Group{Refused: 1}, ""},
		{"refused without a time", problem(503, messenger.StateNotRun, messenger.StateNotRun, ""), Group{Refused: 1, NoRetryAfter: 1}, ""},
		{"outcome unknown", problem(502, messenger.StateUnknown, messenger.StateUnknown, ""), Group{Failed: 1}, ""},
		{"two statements", problem(502, messenger.StateNotRun, messenger.StateRun, ""), Group{Wrong: 1}, "header says"},
		{"no problem document", func(w http.ResponseWriter, _ string) { w.WriteHeader(500) }, Group{Wrong: 1}, "without a problem document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serveFake(tt.answer)
			defer s.Close()
			report, err := Run(context.Background(), Config{
				Routers: []string{strings.TrimPrefix(s.URL, "http://")}, Expect: StandIns{}, MaxRequests: 1,
				Mix: mixOf(Stream{Rate: 1000, Tokens: Range{2, 2}}),
			})
			if err != nil {
				t.Fatal(err)
			}
			got := report.Total()
			got = Group{Complete: got.Complete, Refused: got.Refused, Failed: got.Failed, Wrong: got.Wrong, Cut: got.Cut, Lost: got.Lost, NoRetryAfter: got.NoRetryAfter, Tokens: got.Tokens}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %+v, want %+v; faults %v", got, tt.want, report.Faults)
			}
			if text := fmt.Sprint(report.Faults); !strings.Contains(text, tt.fault) {
				t.Errorf("faults = %s, want %q", text, tt.fault)
			}
		})
	}
}

func TestOpenRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := serveFake(func(http.ResponseWriter, string) { <-release })
	defer s.Close()
	clock := timekeeper.NewManual(time.Unix(0, 0))
	done := make(chan *Report, 1)
	go func() {
		report, err := Run(context.Background(), Config{
			Routers: []string{strings.TrimPrefix(s.URL, "http://")}, Clock: clock, MaxOpen: 3, For: time.Second,
			Mix: mixOf(Stream{Rate: 1000}),
		})
		if err != nil {
			t.Error(err)
		}
		done <- report
	}()
	for clock.Now().Before(time.Unix(2, 0)) {
		const spins = 50
		for i := 0; i < spins && clock.Waiters() == 0; i++ {
			time.Sleep(10 * time.Microsecond)
		}
		clock.Advance(10 * time.Millisecond)
	}
	close(release)
	sum := (<-done).Total()
	if sum.Sent != 3 || sum.Skipped < 800 {
		t.Errorf("sent %d, skipped %d, want 3 sent and the rest of about 1000 skipped", sum.Sent, sum.Skipped)
	}
}

func TestTwoAnswersWithOneID(t *testing.T) {
	s := serveFake(func(w http.ResponseWriter, _ string) {
		w.Header().Set(messenger.FleetRequestIDHeader, "wire-1")
		_, _ = w.Write([]byte(tokenEvent("wire-1", 1) + event(2, "[DONE]")))
	})
	defer s.Close()
	var ended atomic.Int64
	report, err := Run(context.Background(), Config{
		Routers: []string{strings.TrimPrefix(s.URL, "http://")}, Expect: StandIns{}, MaxRequests: 2,
		Mix: mixOf(Stream{Rate: 1000, Tokens: Range{1, 1}}), Observe: func(Observation) { ended.Add(1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if sum := report.Total(); sum.Complete != 1 || sum.Wrong != 1 || ended.Load() != 2 {
		t.Errorf("got %+v, %d observed, want one of two answers to be wrong", sum, ended.Load())
	}
}

func TestBadSettingsAreRefused(t *testing.T) {
	good := mixOf(Stream{Rate: 1})
	tests := []struct {
		name string
		cfg  Config
		want error
	}{
		{"other machine", Config{Routers: []string{"192.0.2.1:80"}, Mix: good}, ErrNotLoopback},
		{"all addresses", Config{Routers: []string{"0.0.0.0:80"}, Mix: good}, ErrNotLoopback},
		{"host name", Config{Routers: []string{"localhost:80"}, Mix: good}, ErrSetting},
		{"no router", Config{Mix: good}, ErrSetting},
		{"no mix", Config{Routers: []string{"127.0.0.1:80"}}, ErrSetting},
		{"too long", Config{Routers: []string{"127.0.0.1:80"}, Mix: good, For: 2 * MaxFor}, ErrSetting},
		{"too many", Config{Routers: []string{"127.0.0.1:80"}, Mix: good, MaxOpen: MaxOpen + 1}, ErrSetting},
	}
	for _, tt := range tests {
		if _, err := Run(context.Background(), tt.cfg); !errors.Is(err, tt.want) {
			t.Errorf("%s: Run() = %v, want %v", tt.name, err, tt.want)
		}
	}
}

func TestLoadMix(t *testing.T) {
	file := filepath.Join(t.TempDir(), "mix.jsonc")
	text := `{"kind": "load", "streams": [
  {"account": "a", "token": "t", "rate": 5, "kind": "commit"}, // fine
  {"token": "hidden-token", "rate": -1, "tokens": {"min": 5, "max": 2}, "repeat": 2, "colour": 1},
]}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	mix, findings := LoadMix(file)
	if got, want := findings.Len(), 5; got != want {
		t.Errorf("got %d findings, want %d:\n%s", got, want, findings.String())
	}
	if got, want := mix.Streams[0].Path, "/reservations"; got != want {
		t.Errorf("path = %q, want %q", got, want)
	}
	if text := findings.String() + fmt.Sprintf("%+v", mix); strings.Contains(text, "hidden-token") {
		t.Errorf("the token is shown: %s", text)
	}
}

func TestReportIsWritten(t *testing.T) {
	s := serveFake(func(w http.ResponseWriter, id string) {
		_, _ = w.Write([]byte(tokenEvent(id, 1) + event(2, "[DONE]")))
	})
	defer s.Close()
	report, err := Run(context.Background(), Config{
		Routers: []string{strings.TrimPrefix(s.URL, "http://")}, MaxRequests: 5,
		Mix: mixOf(Stream{Rate: 1000, Tokens: Range{1, 1}}),
	})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := report.Write(&text); err != nil {
		t.Fatal(err)
	}
	if want := "5 requests in"; !strings.Contains(text.String(), want) {
		t.Errorf("report = %s, want %q", text.String(), want)
	}
	data, err := json.Marshal(report)
	if err != nil || !bytes.Contains(data, []byte(`"firstToken":{"count":5,"p50Ms":`)) {
		t.Errorf("JSON = %s, %v, want the first token's quantiles", data, err)
	}
	if all := text.String() + string(data); strings.Contains(all, "secret-token") {
		t.Errorf("the report shows a token: %s", all)
	}
	file := filepath.Join(t.TempDir(), "plot.png")
	if err := report.Plot(file); err != nil {
		t.Fatal(err)
	}
	picture, err := os.ReadFile(file)
	if err != nil || !bytes.HasPrefix(picture, []byte("\x89PNG")) {
		t.Errorf("the plot is no PNG: %v", err)
	}
}
