// Package logsearch finds the log lines that belong to one request, in the logs of
// several processes.
package logsearch

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
	// marginBefore and marginAfter extend the time of a request for the lines
	// about an upstream, a service or a peer that the request's own lines name.
	marginBefore = 5 * time.Second
	marginAfter  = time.Second
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	At      time.Time
	Process string
	Text    string // the message
	Fields  map[string]any
}

// Index collects the lines of logs.
type Index struct {
	lines   []Line
	skipped int
}

// New returns an empty index.
func New() *Index { return &Index{} }

// Skipped returns the number of lines that were not log lines of the system.
func (ix *Index) Skipped() int { return ix.skipped }

// Read adds the lines of a log. Text before the JSON object of a line, such as
// a prefix added by a log collector, is ignored.
func (ix *Index) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		var fields map[string]any
		if start < 0 || json.Unmarshal(raw[start:], &fields) != nil {
			ix.skipped++
			continue
		}
		text, _ := fields["msg"].(string)
		stamp, _ := fields["ts"].(string)
		process, _ := fields["process"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil || text == "" {
			ix.skipped++
			continue
		}
		ix.lines = append(ix.lines, Line{At: at, Process: process, Text: text, Fields: fields})
	}
	return scanner.Err()
}

// linkFields are the fields whose values link a request's lines to others.
var linkFields = []string{"upstream", "service", "peer"}

// ForRequest returns the lines with a request's identifier and those about an
// upstream, service or peer that they name, by time.
func (ix *Index) ForRequest(request string) []Line {
	var own []Line
	names := make(map[string]bool)
	for _, li := range ix.lines {
		if li.Fields["request"] != request {
			continue
		}
		own = append(own, li)
		for _, name := range linkFields {
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
		// The line at the end of a request has its duration in milliseconds.
		if took, ok := li.Fields["took"].(float64); ok && li.At.Add(-time.Duration(took)*time.Millisecond).Before(first) {
			first = li.At.Add(-time.Duration(took) * time.Millisecond)
		}
	}
	first, last = first.Add(-marginBefore), last.Add(marginAfter)
	for _, li := range ix.lines {
		if _, other := li.Fields["request"]; other || li.At.Before(first) || li.At.After(last) {
			continue
		}
		if slices.ContainsFunc(linkFields, func(name string) bool {
			value, ok := li.Fields[name].(string)
			return ok && names[value]
		}) {
			own = append(own, li)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	return own
}

// String formats the line for people: time, process, message and fields. The
// fields that say how a request ended come first, the others by name.
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

// weight sorts the fields first that say how a request ended.
func weight(key string) int {
	return slices.Index([]string{"cause", "reason", "status", "request"}, key)
}
