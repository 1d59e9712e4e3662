package emulator

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

func startService(t *testing.T) *Service {
	t.Helper()
	s := NewService(ServiceConfig{Name: "s1", Slots: 2, Log: quiet()}, timekeeper.System{})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func TestServiceRunsAndJournals(t *testing.T) {
	s := startService(t)
	res := mustCall(t, "POST", "http://"+s.Addr()+"/reservations", "r1", `{"wig":"w7"}`, "Idempotency-Key", "k1")
	body, _ := io.ReadAll(res.Body)
	if want := `{"id":"s1-1","order":{"wig":"w7"}}`; string(body) != want || res.Header.Get("X-Request-Id") != "r1" {
		t.Errorf("got %s with id %s, want %s with id r1", body, res.Header.Get("X-Request-Id"), want)
	}
	res = mustCall(t, "GET", "http://"+s.Addr()+"/stock/cap", "r2", "")
	if body, _ := io.ReadAll(res.Body); !strings.Contains(string(body), `"item":"cap"`) {
		t.Errorf("got %s, want the item", body)
	}
	j := s.Journal()
	if len(j) != 2 || j[0].Key != "k1" || j[0].Path != "/reservations" || j[0].Outcome != Finished {
		t.Errorf("got journal %+v, want the reservation with key k1 first", j)
	}
}

func TestServiceFaults(t *testing.T) {
	tests := map[string]struct {
		body     string
		wantErr  bool
		wantRuns int
	}{
		"refuse":           {`{"refuse":true}`, false, 0},
		"dropBeforeRun":    {`{"dropBeforeRun":true}`, true, 0},
		"dropBeforeAnswer": {`{"dropBeforeAnswer":true}`, true, 1},
		"none":             {`{}`, false, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startService(t)
			url := "http://" + s.Addr()
			if res := mustCall(t, "POST", url+"/standin/faults", "", tt.body); res.StatusCode != http.StatusOK {
				t.Fatalf("got status %d, want 200", res.StatusCode)
			}
			_, err := call(t, "POST", url+"/printRuns", "r1", "{}")
			if (err != nil) != tt.wantErr || len(s.Journal()) != tt.wantRuns {
				t.Errorf("got error %v and %d runs, want error %v and %d runs", err, len(s.Journal()), tt.wantErr, tt.wantRuns)
			}
		})
	}
	s := startService(t)
	if res := mustCall(t, "POST", "http://"+s.Addr()+"/standin/faults", "", `{"nonsense":1}`); res.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d for an unknown fault, want 400", res.StatusCode)
	}
}
