package truncator

import (
	"encoding/json"
	"io"
	"maps"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func TestLongStringsAreShortened(t *testing.T) {
	const maxBytes = 8
	for _, c := range []struct{ text, want string }{
		{`{"a":"12345678","b":[1,"x"]}`, `{"a":"12345678","b":[1,"x"]}`},
		{`{"a":"123456789","b":1}`, `{"a":"12345678","b":1}`},
		{`["1234567\n","123456\n","123456\nx"]`, `["1234567","123456\n","123456\n"]`},
		{`["12\u00e9","123\u00e9","\\\"\\\"","\\\"\\\"\""]`, `["12\u00e9","123","\\\"\\\"","\\\"\\\""]`},
		{`"123456789\"\\", "z"`, `"12345678", "z"`},
		{`"unfinished text`, `"unfinish`},
	} {
		for name, r := range map[string]io.Reader{
			"at once": strings.NewReader(c.text), "bytes apart": iotest.OneByteReader(strings.NewReader(c.text)),
		} {
			got, err := io.ReadAll(NewReader(r, maxBytes))
			if err != nil || string(got) != c.want {
				t.Errorf("%s, %s: got %s, %v, want %s", c.text, name, got, err, c.want)
			}
		}
	}
}

// TestTextStaysValid reads texts in pieces of any size: what fits comes out as it was, and no cut makes the text
// malformed.
func TestTextStaysValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.MapOf(rapid.StringMatching(`[a-z"\\\x01é]{1,6}`), rapid.String()).Draw(t, "values")
		text, err := json.Marshal(values)
		if err != nil {
			t.Fatal(err)
		}
		longest := 0
		for key, value := range values {
			for _, s := range []string{key, value} {
				quoted, _ := json.Marshal(s)
				longest = max(longest, len(quoted))
			}
		}
		maxBytes := rapid.IntRange(0, longest+1).Draw(t, "maxBytes")
		r := NewReader(strings.NewReader(string(text)), maxBytes)
		var shortened []byte
		for {
			p := make([]byte, rapid.IntRange(1, 9).Draw(t, "piece"))
			n, err := r.Read(p)
			shortened = append(shortened, p[:n]...)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		got := make(map[string]string)
		if err := json.Unmarshal(shortened, &got); err != nil {
			t.Fatalf("got %s of %s: %v", shortened, text, err)
		}
		if maxBytes >= longest && !maps.Equal(got, values) {
			t.Errorf("got %v, want %v unchanged", got, values)
		}
	})
}
