package keeper

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/verifier"
)

// maxBodyBytes bounds the body of a request to the stand-in.
const maxBodyBytes = 64 << 20

// faultsBody is the form of Faults over HTTP.
type faultsBody struct {
	Seed            uint64  `json:"seed"`
	Down            bool    `json:"down"`
	DelayMS         int64   `json:"delayMs"`
	FailShare       float64 `json:"failShare"`
	LoseAnswers     float64 `json:"loseAnswers"`
	ListLagMS       int64   `json:"listLagMs"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// ServeHTTP answers the protocol that storer.Client speaks, and the switches
// of the stand-in under /standin/.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mux.ServeHTTP(w, r)
}

func (k *Keeper) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storer.RowPath, k.serveRead)
	mux.HandleFunc("GET "+storer.ChangesPath, k.serveScan)
	mux.HandleFunc("POST "+storer.CommitPath, k.serveCommit)
	mux.HandleFunc("GET "+storer.ObjectPath, k.serveGetObject)
	mux.HandleFunc("PUT "+storer.ObjectPath, k.servePutObject)
	mux.HandleFunc("GET "+storer.VMsPath, k.serveVMs)
	mux.HandleFunc("POST /standin/faults", k.serveFaults)
	mux.HandleFunc("POST /standin/vms", k.serveSetVMs)
	mux.HandleFunc("GET /standin/counts", k.serveCounts)
	return mux
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	row, err := k.Read(r.Context(), q.Get("table"), q.Get("key"))
	respond(w, row, err)
}

func (k *Keeper) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, err := k.Scan(r.Context(), q.Get("table"), since, limit)
	respond(w, rows, err)
}

func (k *Keeper) serveCommit(w http.ResponseWriter, r *http.Request) {
	var ops []storer.Op
	if !decode(w, r, &ops) {
		return
	}
	respond(w, struct{}{}, k.Commit(r.Context(), ops))
}

func (k *Keeper) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := k.GetObject(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (k *Keeper) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := verifier.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	respond(w, struct{}{}, k.PutObject(r.Context(), r.URL.Query().Get("name"), data))
}

func (k *Keeper) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := k.VMs(r.Context())
	respond(w, vms, err)
}

func (k *Keeper) serveFaults(w http.ResponseWriter, r *http.Request) {
	var b faultsBody
	if !decode(w, r, &b) {
		return
	}
	k.SetFaults(Faults{
		Seed: b.Seed, Down: b.Down, FailShare: b.FailShare, LoseAnswers: b.LoseAnswers,
		Delay:          time.Duration(b.DelayMS) * time.Millisecond,
		ListLag:        time.Duration(b.ListLagMS) * time.Millisecond,
		ReadsPerSecond: b.ReadsPerSecond, WritesPerSecond: b.WritesPerSecond,
	})
	respond(w, struct{}{}, nil)
}

func (k *Keeper) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []storer.VM
	if !decode(w, r, &vms) {
		return
	}
	k.SetVMs(vms)
	respond(w, struct{}{}, nil)
}

func (k *Keeper) serveCounts(w http.ResponseWriter, _ *http.Request) {
	respond(w, k.Counts(), nil)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := verifier.ReadAll(r.Body, maxBodyBytes)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, storer.ErrUnknown):
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
