package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// contextTime is how long before a request's end changes of belief are shown.
	contextTime = time.Second
	// longestLine bounds one line of a log.
	longestLine = 1 << 20
)

// beliefs are the events that change what a router believes. Their lines are the last
// that a router short of time leaves out of its log.
var beliefs = map[string]bool{
	"configuration": true, "upstream": true, "store": true, "peer": true, "overload": true,
	"historyGone": true, "rowsFromPeer": true, "draining": true, "logLeftOut": true,
	"departure": true, "rowRejected": true, "collecting": true, "reporting": true, "workload": true, "turnAway": true, "rotation": true,
}

var (
	timePattern  = regexp.MustCompile(`time="?([^" ]+)"?`)
	eventPattern = regexp.MustCompile(`event=([A-Za-z]+)`)
)

type explainCommand struct {
	ID    string   `arg:"" help:"Id of a request, as the caller sent it or as the answer has it."`
	Files []string `arg:"" help:"Logs of routers."`
}

// logLine is one line of a log.
type logLine struct {
	at         time.Time
	file, text string
	mine       bool
}

// Run prints what the logs say of a request.
func (c explainCommand) Run(s *streams) error {
	var lines []logLine
	unreadable := 0
	for _, name := range c.Files {
		read, bad, err := c.read(name)
		if err != nil {
			return err
		}
		lines, unreadable = append(lines, read...), unreadable+bad
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	found := c.print(s.out, lines)
	if unreadable > 0 {
		fmt.Fprintf(s.out, "%d lines without a time were passed over\n", unreadable)
	}
	if !found {
		return merry.Errorf("no line about request %s", c.ID)
	}
	return nil
}

// read returns the lines of a file about the request and about beliefs.
func (c explainCommand) read(name string) (lines []logLine, unreadable int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close() //nolint:errcheck // it was only read
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Text()
		mine := strings.Contains(text, c.ID)
		event := eventPattern.FindStringSubmatch(text)
		if !mine && (event == nil || !beliefs[event[1]]) {
			continue
		}
		at, ok := timeOf(text)
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, logLine{at: at, file: name, text: text, mine: mine})
	}
	return lines, unreadable, scanner.Err()
}

func timeOf(text string) (time.Time, bool) {
	m := timePattern.FindStringSubmatch(text)
	if m == nil {
		return time.Time{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[1])
	return at, err == nil
}

// print writes the request's story and what changed shortly before its end.
func (c explainCommand) print(w io.Writer, lines []logLine) bool {
	var last time.Time
	for _, l := range lines {
		if l.mine {
			fmt.Fprintf(w, "%s  %s\n", l.file, l.text)
			last = l.at
		}
	}
	if last.IsZero() {
		return false
	}
	fmt.Fprintf(w, "\nchanges of belief in the %v before:\n", contextTime)
	for _, l := range lines {
		if !l.mine && !l.at.After(last) && last.Sub(l.at) <= contextTime {
			fmt.Fprintf(w, "%s  %s\n", l.file, l.text)
		}
	}
	return true
}
