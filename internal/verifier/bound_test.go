package verifier

import (
	"errors"
	"strings"
	"testing"
)

// TestBeginningOfABodyIsNotTheWhole guards against a body that is cut at its reader's bound without a word.
func TestBeginningOfABodyIsNotTheWhole(t *testing.T) {
	if got, err := ReadAll(strings.NewReader("12345"), 5); string(got) != "12345" || err != nil {
		t.Errorf("at the bound: got %q, %v, want the whole", got, err)
	}
	if got, err := ReadAll(strings.NewReader("123456"), 5); got != nil || !errors.Is(err, ErrTooLong) {
		t.Errorf("beyond it: got %q, %v, want %v", got, err, ErrTooLong)
	}
}
