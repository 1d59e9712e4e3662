package conductor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
	"lentilwood.example/lentilwood/internal/verifier"
)

// Bounds of the calls to upstreams.
const (
	stateTimeout   = 5 * time.Second
	maxAnswerBytes = 1 << 20
)

// Errors of the calls to upstreams.
var (
	errStatus   = merry.Sentinel("unexpected status")
	errOldFence = merry.Sentinel("the upstream knows of a later holder")
)

// engines makes the calls to upstreams.
type engines struct{ client *http.Client }

// engineState is the answer to GET /v1/state.
type engineState struct {
	Models []struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Loading bool   `json:"loading"`
	} `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// state asks an engine what it has loaded and what it is loading.
func (e engines) state(ctx context.Context, address string) (orderer.StateRead, error) {
	var s engineState
	if err := e.call(ctx, http.MethodGet, address, "/v1/state", nil, 0, &s); err != nil {
		return orderer.StateRead{}, err
	}
	r := orderer.StateRead{
		State:   orderer.State{Models: make(map[string]string), Adapters: s.Adapters, Role: s.Role},
		Loading: make(map[string]string),
	}
	for _, m := range s.Models {
		if m.Loading {
			r.Loading[m.Model] = m.Version
			continue
		}
		r.State.Models[m.Model] = m.Version
	}
	return r, nil
}

// order sends an order with its fencing number.
func (e engines) order(ctx context.Context, address string, a orderer.SendOrder) error {
	body, err := json.Marshal(a.Order)
	if err != nil {
		return err
	}
	return e.call(ctx, http.MethodPost, address, "/v1/orders", body, a.Fence, nil)
}

// load is the answer to GET /v1/load.
type load struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	MeasuredUnixMS int64 `json:"measuredUnixMs"`
}

// load asks an upstream how many requests it has.
func (e engines) load(ctx context.Context, address string) (load, error) {
	var l load
	err := e.call(ctx, http.MethodGet, address, "/v1/load", nil, 0, &l)
	return l, err
}

func (e engines) call(ctx context.Context, method, address, path string, body []byte, fence uint64, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if fence != 0 {
		req.Header.Set(messenger.FenceHeader, strconv.FormatUint(fence, 10))
	}
	res, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := verifier.ReadAll(res.Body, maxAnswerBytes)
	switch {
	case err != nil:
		return err
	case res.StatusCode == http.StatusConflict:
		return errOldFence
	case res.StatusCode != http.StatusOK:
		return merry.Prependf(errStatus, "%s %s: %d", method, path, res.StatusCode)
	case answer == nil:
		return nil
	}
	return json.Unmarshal(data, answer)
}
