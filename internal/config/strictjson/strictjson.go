// Package strictjson decodes a JSON document into a struct and reports all errors of the
// document at once, each with its path.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"unicode/utf8"
)

// Fault is one error or warning about a document.
type Fault struct {
	// Path is the JSON path, such as Fleet.Pipelines[3].Name; empty for the whole document.
	Path string `json:"Path"`
	Text string `json:"Text"`
	// Line counts from 1 and Offset in bytes from 0. Both are set for faults found while
	// decoding; otherwise Line is 0.
	Line   int   `json:"Line,omitempty"`
	Offset int64 `json:"Offset,omitempty"`
	// Warning marks a questionable value that does not prevent a process from starting.
	Warning bool `json:"Warning,omitempty"`
	// Unreadable is true if the value at Path could not be decoded, so that its content can't be
	// checked.
	Unreadable bool `json:"-"`
}

// String returns the fault as one line.
func (fa Fault) String() string {
	text := fa.Text
	if fa.Path != "" {
		text = fa.Path + ": " + text
	}
	if fa.Warning {
		text = "warning: " + text
	}
	if fa.Line > 0 {
		text += fmt.Sprintf(" (line %d, byte %d)", fa.Line, fa.Offset)
	}
	return text
}

// Decoder decodes strictly: unknown keys, duplicate keys, null and values of the wrong
// type are faults.
type Decoder struct {
	maxBytes  int
	maxDepth  int
	maxFaults int
	defaults  map[reflect.Type]reflect.Value
}

// Option configures a Decoder.
type Option func(*Decoder)

// WithMaxBytes bounds the size of the document; the default is 16 MiB.
func WithMaxBytes(n int) Option { return func(de *Decoder) { de.maxBytes = n } }

// WithDefault sets the initial value of a nil pointer to a struct of this type when the
// document has its key.
func WithDefault(value any) Option {
	return func(de *Decoder) { de.defaults[reflect.TypeOf(value)] = reflect.ValueOf(value) }
}

// New returns a Decoder. Nesting is limited to 32 levels, like MaxJSONDepth of requests,
// and the report to 10,000 faults.
func New(opts ...Option) *Decoder {
	de := &Decoder{maxBytes: 16 << 20, maxDepth: 32, maxFaults: 10000, defaults: make(map[reflect.Type]reflect.Value)}
	for _, opt := range opts {
		opt(de)
	}
	return de
}

// Decode fills the struct that into points to and returns the faults in document order.
// The bool is false if the text is not JSON; into then holds only the values before the
// syntax error.
func (de *Decoder) Decode(data []byte, into any) ([]Fault, bool) {
	wa := &walk{de: de, data: data, line: 1, fields: make(map[reflect.Type]map[string]int)}
	if len(data) > de.maxBytes {
		return []Fault{{Text: fmt.Sprintf("document of %d bytes is larger than %d", len(data), de.maxBytes)}}, false
	}
	valid := data
	syntax := syntaxFault(data)
	if syntax != nil {
		valid = data[:min(int(syntax.Offset), len(data))]
	}
	wa.dec = json.NewDecoder(bytes.NewReader(valid))
	wa.dec.UseNumber()
	// An error here only repeats the syntax error.
	_ = wa.value(reflect.ValueOf(into).Elem())
	if syntax != nil {
		wa.addFault(*syntax)
	} else if !utf8.Valid(data) {
		wa.addFault(Fault{Text: "text is not valid UTF-8"})
	}
	if wa.dropped > 0 {
		wa.faults = append(wa.faults, Fault{Text: fmt.Sprintf("%d more faults", wa.dropped)})
	}
	return wa.faults, syntax == nil
}

func syntaxFault(data []byte) *Fault {
	if json.Valid(data) {
		return nil
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	fa := &Fault{Text: "not JSON: " + err.Error(), Offset: int64(len(data))}
	var se *json.SyntaxError
	if errors.As(err, &se) && se.Offset > 0 {
		fa.Offset = se.Offset - 1
	}
	if se != nil && se.Offset >= int64(len(data)) && se.Error() == "unexpected end of JSON input" {
		fa.Text, fa.Offset = "truncated: unexpected end of JSON input", int64(len(data))
	}
	if bytes.HasPrefix(data, []byte("\xef\xbb\xbf")) {
		fa.Text, fa.Offset = "not JSON: starts with a UTF-8 byte order mark", 0
	}
	fa.Line = 1 + bytes.Count(data[:fa.Offset], []byte("\n"))
	return fa
}
