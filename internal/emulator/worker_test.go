package emulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

const patience = 10 * time.Second

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startWorker(t *testing.T, cfg WorkerConfig, clock timekeeper.Clock) *Worker {
	t.Helper()
	cfg.Name, cfg.Log = "w1", quiet()
	w := NewWorker(cfg, clock)
	if err := w.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	return w
}

// call sends one request on a connection of its own.
func call(t *testing.T, method, url, id, body string, header ...string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	tr := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(tr.CloseIdleConnections)
	return tr.RoundTrip(r)
}

func mustCall(t *testing.T, method, url, id, body string, header ...string) *http.Response {
	t.Helper()
	res, err := call(t, method, url, id, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func prompt(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":"hello","maxTokens":%d,"stream":%v}`, tokens, stream)
}

// readEvents returns the events of a stream as "id data" until it ends.
func readEvents(r io.Reader) ([]string, error) {
	var out []string
	id := ""
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
			out = append(out, id+" "+v)
		}
	}
	return out, sc.Err()
}

// wantEvents returns the events of a whole answer after the event number.
func wantEvents(id string, tokens, after int) []string {
	var out []string
	for n := 1; n <= tokens; n++ {
		out = append(out, fmt.Sprintf(`%d {"text":"%s"}`, n, Text(id, n)))
	}
	out = append(out, fmt.Sprintf(`%d {"usage":{"completionTokens":%d,"cachedTokens":0}}`, tokens+1, tokens))
	return append(out, fmt.Sprintf("%d [DONE]", tokens+2))[after:]
}

func checkEvents(t *testing.T, got, want []string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got events %q, want %q", got, want)
	}
}

func TestStreamIsWholeAndResumable(t *testing.T) {
	w := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	url := "http://" + w.Addr() + "/v1/"
	res := mustCall(t, "POST", url+"completions", "r1", prompt(5, true))
	got, err := readEvents(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	checkEvents(t, got, wantEvents("r1", 5, 0))
	if got := res.Header.Get("X-Request-Id"); got != "r1" {
		t.Errorf("got request id %q, want r1", got)
	}
	res = mustCall(t, "GET", url+"streams/r1", "", "", "Last-Event-Id", "3")
	got, err = readEvents(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	checkEvents(t, got, wantEvents("r1", 5, 3))
	if res := mustCall(t, "GET", url+"streams/other", "", ""); res.StatusCode != http.StatusNotFound {
		t.Errorf("got status %d for an unknown stream, want 404", res.StatusCode)
	}
	if j := w.Journal(); len(j) != 1 || j[0].Outcome != Finished || j[0].Tokens != 5 {
		t.Errorf("got journal %+v, want one finished entry of 5 tokens", j)
	}
}

func TestWholeAnswer(t *testing.T) {
	w := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	res := mustCall(t, "POST", "http://"+w.Addr()+"/v1/completions", "r1", prompt(3, false))
	var got struct {
		Text  string
		Usage Usage
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if want := Text("r1", 1) + Text("r1", 2) + Text("r1", 3); got.Text != want || got.Usage.CompletionTokens != 3 {
		t.Errorf("got %+v, want text %q of 3 tokens", got, want)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		check  func(t *testing.T, w *Worker, res *http.Response, err error)
	}{
		"drop after events": {Faults{DropAfterEvents: 2}, func(t *testing.T, _ *Worker, res *http.Response, _ error) {
			got, err := readEvents(res.Body)
			if len(got) != 2 || err == nil {
				t.Errorf("got %q and error %v, want 2 events and a cut", got, err)
			}
		}},
		"refuse": {Faults{Refuse: true}, func(t *testing.T, w *Worker, res *http.Response, _ error) {
			if res.StatusCode != http.StatusServiceUnavailable || len(w.Journal()) != 0 {
				t.Errorf("got status %d and journal %v, want 503 and nothing run", res.StatusCode, w.Journal())
			}
		}},
		"drop before run": {Faults{DropBeforeRun: true}, func(t *testing.T, w *Worker, _ *http.Response, err error) {
			if err == nil || len(w.Journal()) != 0 {
				t.Errorf("got error %v and journal %v, want a cut and nothing run", err, w.Journal())
			}
		}},
		"wrong id": {Faults{WrongID: true}, func(t *testing.T, _ *Worker, res *http.Response, _ error) {
			if got := res.Header.Get("X-Request-Id"); got == "r1" {
				t.Errorf("got request id %q, want another", got)
			}
		}},
		"garbage": {Faults{Garbage: true}, func(t *testing.T, _ *Worker, res *http.Response, _ error) {
			if body, _ := io.ReadAll(res.Body); !bytes.HasPrefix(body, []byte{0, 0xff}) {
				t.Errorf("got body %q, want garbage", body)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
			tt.faults.Limit = 1
			w.SetFaults(tt.faults)
			res, err := call(t, "POST", "http://"+w.Addr()+"/v1/completions", "r1", prompt(5, true))
			tt.check(t, w, res, err)
			res = mustCall(t, "POST", "http://"+w.Addr()+"/v1/completions", "r2", prompt(2, true))
			got, _ := readEvents(res.Body)
			checkEvents(t, got, wantEvents("r2", 2, 0))
		})
	}
}

func TestSilentConnectionIsTakenOverByResume(t *testing.T) {
	w := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	w.SetFaults(Faults{SilentAfterEvents: 2, Limit: 1})
	url := "http://" + w.Addr() + "/v1/"
	res := mustCall(t, "POST", url+"completions", "r1", prompt(5, true))
	buf := make([]byte, len("id: 1\n"))
	if _, err := io.ReadFull(res.Body, buf); err != nil {
		t.Fatal(err)
	}
	again := mustCall(t, "GET", url+"streams/r1", "", "", "Last-Event-Id", "2")
	got, err := readEvents(again.Body)
	if err != nil {
		t.Fatal(err)
	}
	checkEvents(t, got, wantEvents("r1", 5, 2))
}

func TestFreezeSilencesOpenConnectionsOnly(t *testing.T) {
	w := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	tr := &http.Transport{MaxConnsPerHost: 1}
	t.Cleanup(tr.CloseIdleConnections)
	get := func(ctx context.Context) error {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+w.Addr()+"/healthz", nil)
		res, err := tr.RoundTrip(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return err
	}
	if err := get(t.Context()); err != nil {
		t.Fatal(err)
	}
	w.SetFaults(Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := get(ctx); err == nil {
		t.Error("got an answer on a frozen connection, want silence")
	}
	if err := get(t.Context()); err != nil {
		t.Errorf("got %v on a new connection, want an answer", err)
	}
}

func TestExportAndImportMoveAStream(t *testing.T) {
	from := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	to := startWorker(t, WorkerConfig{Instant: true}, timekeeper.System{})
	res := mustCall(t, "POST", "http://"+from.Addr()+"/v1/completions", "r1", prompt(6, true))
	if _, err := readEvents(res.Body); err != nil {
		t.Fatal(err)
	}
	res = mustCall(t, "POST", "http://"+from.Addr()+"/v1/streams/r1/export", "", "")
	kv, _ := io.ReadAll(res.Body)
	url := "http://" + to.Addr() + "/v1/streams/r1"
	damaged := append([]byte(nil), kv...)
	damaged[len(damaged)-1] ^= 1
	if res := mustCall(t, "POST", url+"/import", "", string(damaged)); res.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d for damaged bytes, want 400", res.StatusCode)
	}
	if res := mustCall(t, "POST", url+"/import", "", string(kv)); res.StatusCode != http.StatusNoContent {
		t.Fatalf("got status %d, want 204", res.StatusCode)
	}
	res = mustCall(t, "GET", url, "", "", "Last-Event-Id", "4")
	got, err := readEvents(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	checkEvents(t, got, wantEvents("r1", 6, 4))
}

func TestOrdersAndFences(t *testing.T) {
	tests := map[string]struct {
		checks     bool
		wantStatus int
		wantRole   string
	}{
		"checks the fence":  {true, http.StatusConflict, "prefill"},
		"ignores the fence": {false, http.StatusOK, "decode"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, WorkerConfig{Instant: true, ChecksFence: tt.checks}, timekeeper.System{})
			url := "http://" + w.Addr() + "/v1/orders"
			if res := mustCall(t, "POST", url, "", `{"kind":"role","role":"prefill"}`, "Lentilwood-Fence", "7"); res.StatusCode != http.StatusOK {
				t.Fatalf("got status %d, want 200", res.StatusCode)
			}
			res := mustCall(t, "POST", url, "", `{"kind":"role","role":"decode"}`, "Lentilwood-Fence", "6")
			if res.StatusCode != tt.wantStatus {
				t.Errorf("got status %d for an old fence, want %d", res.StatusCode, tt.wantStatus)
			}
			if got := w.State(); got.Role != tt.wantRole || got.Fence != 7 {
				t.Errorf("got state %+v, want role %s and fence 7", got, tt.wantRole)
			}
		})
	}
}

func TestModelsLoadAtTheStoresPace(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	store := NewWeightStore(100, clock)
	var workers []*Worker
	for range 2 {
		w := NewWorker(WorkerConfig{Models: []string{"old"}, ModelBytes: 1000, Weights: store}, clock)
		w.orders.obey(Order{Kind: LoadModel, Model: "new", Version: "2"}, clock)
		workers = append(workers, w)
	}
	for i, want := range []int{1, 2} {
		clock.Advance(10 * time.Second)
		ready := 0
		for _, w := range workers {
			if w.orders.serves("new", "", clock.Now()) {
				ready++
			}
		}
		if ready != want {
			t.Errorf("got %d models ready after load %d, want %d", ready, i+1, want)
		}
	}
}
