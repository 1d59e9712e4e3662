package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplainTellsARequestsStory(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	one := write("one.log", `time="2026-01-01T10:00:02.500Z" level=info msg="request ended" event=request request=abc problem=deadline
time="2026-01-01T10:00:00.100Z" level=info msg="upstream gone" event=upstream gone=true upstream=old
garbled line about abc
`)
	two := write("two.log", `time="2026-01-01T10:00:01.900Z" level=warning msg="upstream silent" event=upstreamSilent request=abc
time="2026-01-01T10:00:02.100Z" level=info msg="upstream gone" event=upstream gone=true upstream=u1
time="2026-01-01T10:00:02.200Z" level=info msg="request ended" event=request request=other
`)
	var out, errOut bytes.Buffer
	if code := Run([]string{"explain", "abc", one, two}, &out, &errOut); code != exitOK {
		t.Fatalf("exit code = %d: %s", code, errOut.String())
	}
	got := out.String()
	silent, ended, gone := strings.Index(got, "upstream silent"), strings.Index(got, "request=abc problem"), strings.Index(got, "upstream=u1")
	if silent < 0 || ended < silent || gone < ended {
		t.Errorf("got %s, want the lines in order and the change of belief after them", got)
	}
	if strings.Contains(got, "upstream=old") || strings.Contains(got, "request=other") || !strings.Contains(got, "1 lines without") {
		t.Errorf("got %s, want nothing older or of others, and unreadable lines counted", got)
	}
	if code := Run([]string{"explain", "nobody", one}, &out, &errOut); code != exitFailed {
		t.Errorf("exit code = %d for an id that no line has, want %d", code, exitFailed)
	}
}
