package emulator

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// kvBytesPerToken is the size of an exported stream for each of its tokens.
const kvBytesPerToken = 64

const checksumBytes = 8

// kvState is what an export holds besides the padding that stands for the
// cached keys and values.
type kvState struct {
	ID        string     `json:"id"`
	Request   completion `json:"request"`
	Prefix    string     `json:"prefix"`
	Key       string     `json:"key"`
	Generated int        `json:"generated"`
}

// encode returns a checksum, the state and its padding.
func (k kvState) encode() []byte {
	body, err := json.Marshal(k)
	if err != nil {
		return nil
	}
	padding := (len(k.Request.Prompt)/bytesPerToken + k.Generated) * kvBytesPerToken
	body = append(body, make([]byte, padding)...)
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
}

func decodeKV(data []byte) (kvState, bool) {
	var k kvState
	if len(data) < checksumBytes {
		return k, false
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return k, false
	}
	err := json.Unmarshal(bytes.TrimRight(body, "\x00"), &k)
	return k, err == nil
}

func (w *Worker) serveExport(rw http.ResponseWriter, r *http.Request) {
	f := w.take()
	if !refuseOrDrop(rw, f) || !w.waitWhileSilent(done(rw)) {
		return
	}
	s, p := w.engine.find(r.PathValue("id"))
	if s == nil {
		replyError(rw, http.StatusNotFound, "no such stream")
		return
	}
	k := kvState{ID: s.id, Request: s.request, Prefix: s.prefix, Key: s.entry.Key, Generated: p.generated}
	rw.Header().Set("Content-Type", "application/octet-stream")
	_, _ = rw.Write(k.encode())
}

func (w *Worker) serveImport(rw http.ResponseWriter, r *http.Request) {
	f := w.take()
	if !refuseOrDrop(rw, f) || !w.waitWhileSilent(done(rw)) {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(rw, http.StatusBadRequest, err.Error())
		return
	}
	k, ok := decodeKV(data)
	if !ok || k.ID != r.PathValue("id") {
		replyError(rw, http.StatusBadRequest, "these are not the exported bytes of this stream")
		return
	}
	if !w.orders.serves(k.Request.Model, k.Request.Adapter, w.clock.Now()) {
		replyError(rw, http.StatusConflict, "the model is not loaded")
		return
	}
	s := w.newStream(k.ID, k.Request, r.Header)
	s.prefix = k.Prefix
	s.entry.Key = k.Key
	s.entry.Imported = true
	s.generated = k.Generated
	s.done = s.generated >= s.request.MaxTokens
	s.paused = !s.done
	w.engine.submit(s, nil)
	rw.WriteHeader(http.StatusNoContent)
}
