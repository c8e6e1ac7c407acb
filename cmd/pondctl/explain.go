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

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// standingFields are shown apart from the others.
var standingFields = []string{"ts", "node", "msg", "level", "event"}

// explain prints the life of a job or task in time order over several nodes' logs.
func explain(_ context.Context, c *call) error {
	var files []string
	c.set.Func("log", "a `file` with a node's log; may be given several times (standard input if none is)", func(f string) error {
		files = append(files, f)
		return nil
	})
	around := c.set.Bool("holders", true, "also show where the holder changed, since its lines stand in another log then")
	if err := c.parse(); err != nil {
		return err
	}
	id := c.set.Arg(0)
	var lines []logLine
	if len(files) == 0 {
		found, err := readLog(c.in, id, *around)
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
		found, err := readLog(f, id, *around)
		_ = f.Close() // It was only read.
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	if !slices.ContainsFunc(lines, func(l logLine) bool { return l.isOf(id) }) {
		fmt.Fprintf(c.err, "no line names %s\n", id)
		return &exitError{Status: exitFailed}
	}
	return c.print(lines, func() {
		for _, l := range lines {
			fmt.Fprintln(c.out, l.String())
		}
	})
}

// readLog returns the lines that name an identifier, and those of holders' terms.
func readLog(r io.Reader, id string, terms bool) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		// A collector may put its own time stamp and the node's name before the line.
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
		if l.isOf(id) || terms && strings.HasPrefix(l.Message, "term ") {
			for _, name := range standingFields {
				delete(fields, name)
			}
			found = append(found, l)
		}
	}
	return found, scanner.Err()
}

// isOf reports whether a line names a job, a task of it, or just that task.
func (l logLine) isOf(id string) bool {
	job, _ := l.Fields["job"].(string)
	task, _ := l.Fields["task"].(string)
	return job == id || task == id || strings.HasPrefix(task, id+".")
}

// String returns the line for reading.
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
