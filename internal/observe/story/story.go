// Package story finds the log lines that belong to one request, in the logs of
// several processes.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// before and after bound the lines on an upstream, a service or a peer that
	// a request's own lines name.
	before = 5 * time.Second
	after  = time.Second
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// Line is one log line.
type Line struct {
	At      time.Time
	Process string
	Text    string // the message
	Fields  map[string]any
}

// Story collects lines.
type Story struct {
	lines   []Line
	skipped int
}

// New returns an empty story.
func New() *Story { return &Story{} }

// Skipped returns the lines that were not log lines of the system.
func (sr *Story) Skipped() int { return sr.skipped }

// Read adds the lines of a log. What stands before the JSON object of a line,
// such as a prefix of the log's collector, is left out.
func (sr *Story) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		var fields map[string]any
		if start < 0 || json.Unmarshal(raw[start:], &fields) != nil {
			sr.skipped++
			continue
		}
		text, _ := fields["msg"].(string)
		stamp, _ := fields["ts"].(string)
		process, _ := fields["process"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil || text == "" {
			sr.skipped++
			continue
		}
		sr.lines = append(sr.lines, Line{At: at, Process: process, Text: text, Fields: fields})
	}
	return scanner.Err()
}

// named are the fields whose values lead from a request's lines to others.
var named = []string{"upstream", "service", "peer"}

// Of returns the lines with a request's identifier and those about what they
// name, in the order of their times.
func (sr *Story) Of(request string) []Line {
	var own []Line
	names := make(map[string]bool)
	for _, li := range sr.lines {
		if li.Fields["request"] != request {
			continue
		}
		own = append(own, li)
		for _, name := range named {
			if value, ok := li.Fields[name].(string); ok {
				names[value] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := own[0].At, own[0].At
	for _, li := range own {
		if li.At.Before(first) {
			first = li.At
		}
		if li.At.After(last) {
			last = li.At
		}
		// The line at the end of a request names the time it took.
		if took, ok := li.Fields["took"].(float64); ok && li.At.Add(-time.Duration(took)*time.Millisecond).Before(first) {
			first = li.At.Add(-time.Duration(took) * time.Millisecond)
		}
	}
	first, last = first.Add(-before), last.Add(after)
	for _, li := range sr.lines {
		if _, other := li.Fields["request"]; other || li.At.Before(first) || li.At.After(last) {
			continue
		}
		if slices.ContainsFunc(named, func(name string) bool {
			value, ok := li.Fields[name].(string)
			return ok && names[value]
		}) {
			own = append(own, li)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	return own
}

// String returns the line for a reader: time, process, message and fields in
// the order of their names.
func (li Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", li.At.Format("15:04:05.000"), li.Process, li.Text)
	keys := make([]string, 0, len(li.Fields))
	for key := range li.Fields {
		switch key {
		case "ts", "process", "msg", "logger", "level":
		default:
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	for _, key := range keys {
		value := fmt.Sprint(li.Fields[key])
		if strings.ContainsAny(value, " \"") || value == "" {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&text, " %s=%s", key, value)
	}
	return text.String()
}

// weight puts the fields first that say how a request ended.
func weight(key string) int {
	return slices.Index([]string{"cause", "reason", "status", "request"}, key)
}
