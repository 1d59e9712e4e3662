package verifier

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// readHead reads a response in pieces through a HeadReader, as a client does, and returns what
// follows the head.
func readHead(raw string, piece func(io.Reader) io.Reader) (rest string, err error) {
	h := NewHeadReader(piece(strings.NewReader(raw)))
	if err := h.Begin(nil); err != nil {
		return "", err
	}
	br := bufio.NewReader(h)
	if _, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead}); err != nil {
		return "", err
	}
	p, err := io.ReadAll(br)
	return string(p), err
}

// pieces are the ways in which the bytes of a response may arrive.
var pieces = map[string]func(io.Reader) io.Reader{
	"at once":      func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
	"with the end": iotest.DataErrReader,
}

func TestHeadReader(t *testing.T) {
	for name, tc := range map[string]struct {
		raw     string
		wantErr bool
	}{
		"sound":                   {raw: "HTTP/1.1 200 OK\r\nA: 1\r\nB:2\r\n\r\nbody\r\n x\x00"},
		"no fields":               {raw: "HTTP/1.1 200 OK\r\n\r\nbody"},
		"no reason phrase":        {raw: "HTTP/1.1 200\r\nA: 1\r\n\r\n"},
		"empty value":             {raw: "HTTP/1.1 200 OK\r\nA:\r\nB: \t\r\n\r\n"},
		"bytes above ASCII":       {raw: "HTTP/1.1 200 \xc3\xa9\r\nA: \xc3\xa9:\r\n\r\n"},
		"all line ends LF":        {raw: "HTTP/1.1 200 OK\nA: 1\n\nbody"},
		"blank before the colon":  {raw: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", wantErr: true},
		"continued line":          {raw: "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n", wantErr: true},
		"continued line, tab":     {raw: "HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 2\r\n\r\n", wantErr: true},
		"blank first line":        {raw: "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", wantErr: true},
		"line of blanks":          {raw: "HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n", wantErr: true},
		"empty name":              {raw: "HTTP/1.1 200 OK\r\n: 1\r\n\r\n", wantErr: true},
		"no colon":                {raw: "HTTP/1.1 200 OK\r\nA\r\n\r\n", wantErr: true},
		"name above ASCII":        {raw: "HTTP/1.1 200 OK\r\n\xc3\xa9: 1\r\n\r\n", wantErr: true},
		"LF at the end of a line": {raw: "HTTP/1.1 200 OK\r\nA: 1\nB: 2\r\n\r\n", wantErr: true},
		"LF as the last line":     {raw: "HTTP/1.1 200 OK\r\nA: 1\r\n\nB: 2\r\n\r\n", wantErr: true},
		"CR only once":            {raw: "HTTP/1.1 200 OK\nA: 1\r\n\n", wantErr: true},
		"CR twice":                {raw: "HTTP/1.1 200 OK\r\nA: 1\r\r\n\r\n", wantErr: true},
		"CR twice at the end":     {raw: "HTTP/1.1 200 OK\r\nA: 1\r\n\r\r\n", wantErr: true},
		"CR in a line":            {raw: "HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n\r\n", wantErr: true},
		"control byte in status":  {raw: "HTTP/1.1 200 O\x00K\r\n\r\n", wantErr: true},
	} {
		for how, piece := range pieces {
			_, want, _ := strings.Cut(tc.raw, "\n\n")
			if _, after, ok := strings.Cut(tc.raw, "\r\n\r\n"); ok {
				want = after
			}
			got, err := readHead(tc.raw, piece)
			if tc.wantErr {
				want = ""
			}
			if got != want || (err != nil) != tc.wantErr {
				t.Errorf("%s, %s: got %q after the head, error %v; want %q, an error %v", name, how, got, err, want, tc.wantErr)
			}
		}
	}
}

// TestHeadReaderRefusesBytesInNames puts each byte that no name has at each place of a name.
func TestHeadReaderRefusesBytesInNames(t *testing.T) {
	for c := range 256 {
		if isNameByte(byte(c)) || c == ':' {
			continue
		}
		for _, place := range []string{"?Content-Length", "Content?Length", "Content-Length?"} {
			name := strings.ReplaceAll(place, "?", string([]byte{byte(c)}))
			for _, raw := range []string{
				"HTTP/1.1 200 OK\r\n" + name + ": 2\r\nA: 1\r\n\r\nbody",
				"HTTP/1.1 200 OK\r\nA: 1\r\n" + name + ": 2\r\n\r\nbody",
			} {
				if rest, err := readHead(raw, pieces["at once"]); !errors.Is(err, ErrHead) {
					t.Errorf("%q: got %q after the head, error %v, want %v", raw, rest, err, ErrHead)
				}
			}
		}
	}
}

// FuzzHeadReader checks that a head that is accepted ends where the parser sees its end, and that
// the parser gets valid names only.
func FuzzHeadReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\nA : 1\n\nbody"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h := NewHeadReader(bytes.NewReader(nil))
		end := 0
		err := h.Begin(nil)
		for ; end < len(raw) && err == nil && h.state != headDone; end++ {
			err = h.check(raw[end : end+1])
		}
		if err != nil || h.state != headDone {
			return
		}
		br := bufio.NewReaderSize(bytes.NewReader(raw), len(raw))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
		if err != nil {
			return
		}
		if got, want := br.Buffered(), len(raw)-end; got != want {
			t.Errorf("%q: the parser leaves %d bytes, want %d", raw, got, want)
		}
		for name := range resp.Header {
			if strings.IndexFunc(name, func(r rune) bool { return r > 127 || !isNameByte(byte(r)) }) >= 0 {
				t.Errorf("%q: got the field name %q", raw, name)
			}
		}
	})
}
