package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// logLine is one structured line of a node's log.
type logLine struct {
	Time    string
	Node    string
	Message string
	Fields  map[string]any
}

// maxLogLine is the largest length of a log line in bytes.
const maxLogLine = 1 << 20

// prefixFields are removed from logLine.Fields: String prints time, node and message before the
// other fields, and omits level and event.
var prefixFields = []string{"ts", "node", "msg", "level", "event"}

// explain prints the log lines of a job or task from the logs of several nodes, in order of time.
func explain(_ context.Context, c *call) error {
	var files []string
	c.flags.Func("log", "log `file` of a node; may be repeated (default standard input)", func(f string) error {
		files = append(files, f)
		return nil
	})
	withTerms := c.flags.Bool("holders", true, "also print lines about the terms of leaders, since after a change of leader the next lines are in another node's log")
	if err := c.parse(); err != nil {
		return err
	}
	id := c.flags.Arg(0)
	var lines []logLine
	if len(files) == 0 {
		found, err := readLog(c.in, id, *withTerms)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return &usageError{Reason: err.Error()}
		}
		found, err := readLog(f, id, *withTerms)
		_ = f.Close() // An error is irrelevant for a file that was only read.
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	if !slices.ContainsFunc(lines, func(l logLine) bool { return l.concerns(id) }) {
		fmt.Fprintf(c.err, "no log line mentions %s\n", id)
		return &exitError{Status: exitFailed}
	}
	return c.print(lines, func() {
		for _, l := range lines {
			fmt.Fprintln(c.out, l.String())
		}
	})
}

// readLog returns the lines about a job or task. If withTerms is set, it also returns the lines
// about terms of leaders.
func readLog(r io.Reader, id string, withTerms bool) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		// A log collector may prefix lines with its own time stamp and the node's name.
		start := strings.IndexByte(string(text), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			continue
		}
		l := logLine{Fields: fields}
		l.Time, _ = fields["ts"].(string)
		l.Node, _ = fields["node"].(string)
		l.Message, _ = fields["msg"].(string)
		if l.concerns(id) || withTerms && strings.HasPrefix(l.Message, "term ") {
			for _, name := range prefixFields {
				delete(fields, name)
			}
			found = append(found, l)
		}
	}
	return found, scanner.Err()
}

// concerns reports whether a line is about the job with the given id or one of its tasks, or about
// the task with that id.
func (l logLine) concerns(id string) bool {
	job, _ := l.Fields["job"].(string)
	task, _ := l.Fields["task"].(string)
	return job == id || task == id || strings.HasPrefix(task, id+".")
}

// String returns the line as text: time, node, message, and the other fields sorted by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-20s %s", l.Time, l.Node, l.Message)
	var names []string
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	return b.String()
}
