// Package assetcsv imports an asset register in CSV into the inventory of a Fleet.
package assetcsv

import (
	"bufio"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// Columns of the register. The header has the same name unless WithColumn changes it.
const (
	ColAssetID      = "asset_id"     // name of the instance
	ColHostname     = "hostname"     // name of the upstream or entry; the asset_id if empty
	ColIP           = "ip"           // address of the instance
	ColZone         = "zone"         //
	ColRole         = "role"         // upstream, entry or instance
	ColService      = "service"      // upstream only
	ColPort         = "port"         // upstream: server process; entry: callers
	ColAgentPort    = "agent_port"   // upstream only
	ColAdminPort    = "admin_port"   // entry only
	ColCapacity     = "capacity"     // upstream only
	ColAccelerators = "accelerators" // upstream only
	ColModels       = "models"       // upstream only, separated by semicolons
	ColOwner        = "owner"        // must match the owner of the service
)

// Columns returns all columns in the order of the documentation.
func Columns() []string {
	return []string{
		ColAssetID, ColHostname, ColIP, ColZone, ColRole, ColService, ColPort, ColAgentPort,
		ColAdminPort, ColCapacity, ColAccelerators, ColModels, ColOwner,
	}
}

var required = []string{ColAssetID, ColIP, ColZone, ColRole}

// Fault is one error in the register.
type Fault struct {
	Line   int    `json:"Line"`             // from 1
	Column int    `json:"Column,omitempty"` // in bytes, from 1
	Header string `json:"Header,omitempty"`
	Text   string `json:"Text"`
}

// String returns the fault as one line.
func (fa Fault) String() string {
	text := fmt.Sprintf("line %d", fa.Line)
	if fa.Column > 0 {
		text += fmt.Sprintf(", column %d", fa.Column)
	}
	if fa.Header != "" {
		text += " (" + fa.Header + ")"
	}
	return text + ": " + fa.Text
}

// Report counts what was done with the lines and columns of the register.
type Report struct {
	Rows           int      `json:"Rows"`
	BlankLines     int      `json:"BlankLines"` // lines with only empty fields
	Added          []string `json:"Added"`
	Replaced       []string `json:"Replaced"`
	Unchanged      int      `json:"Unchanged"`
	IgnoredColumns []string `json:"IgnoredColumns"`
}

// Importer imports registers. It is stateless between calls.
type Importer struct {
	headers   map[string]string // by column
	maxBytes  int64
	maxRows   int
	maxField  int
	maxFaults int
}

// Option configures an Importer.
type Option func(*Importer)

// WithColumn sets the header of a column.
func WithColumn(column, header string) Option {
	return func(im *Importer) { im.headers[column] = header }
}

// WithMaxBytes bounds the size of the register; the default is 16 MiB.
func WithMaxBytes(n int64) Option { return func(im *Importer) { im.maxBytes = n } }

// WithMaxRows bounds the number of lines; the default is 100,000.
func WithMaxRows(n int) Option { return func(im *Importer) { im.maxRows = n } }

// New returns an Importer. It reports at most 10,000 faults.
func New(opts ...Option) *Importer {
	im := &Importer{headers: make(map[string]string), maxBytes: 16 << 20, maxRows: 100000, maxField: 4096, maxFaults: 10000}
	for _, column := range Columns() {
		im.headers[column] = column
	}
	for _, opt := range opts {
		opt(im)
	}
	return im
}

// Import merges the register into a copy of the Fleet. Elements with the same name are
// replaced but keep the values that have no column. If there are faults, the Fleet is
// returned unchanged.
func (im *Importer) Import(rd io.Reader, fl citronstream.Fleet) (citronstream.Fleet, Report, []Fault) {
	me := newMerge(im, fl)
	limited := &io.LimitedReader{R: rd, N: im.maxBytes + 1}
	buffered := bufio.NewReader(limited)
	if start, _ := buffered.Peek(3); string(start) == "\xef\xbb\xbf" {
		_, _ = buffered.Discard(3)
	}
	me.csv = csv.NewReader(buffered)
	me.csv.FieldsPerRecord = -1
	if me.header() {
		me.rows()
	}
	if limited.N <= 0 {
		me.fault(0, "", "register is larger than %d bytes", im.maxBytes)
	}
	if me.dropped > 0 {
		me.faults = append(me.faults, Fault{Line: me.line, Text: fmt.Sprintf("%d more faults", me.dropped)})
	}
	if len(me.faults) > 0 {
		return fl, me.report, me.faults
	}
	return me.fl, me.report, nil
}

func (me *merge) fault(column int, header, format string, args ...any) {
	if len(me.faults) >= me.im.maxFaults {
		me.dropped++
		return
	}
	me.faults = append(me.faults, Fault{Line: max(me.line, 1), Column: column, Header: header, Text: fmt.Sprintf(format, args...)})
}

// read returns the next record, or false at the end. It reports a line that is not CSV and
// continues with the next one.
func (me *merge) read() ([]string, bool) {
	for {
		record, err := me.csv.Read()
		if err == nil {
			me.line, _ = me.csv.FieldPos(0)
			return record, true
		}
		var pe *csv.ParseError
		if !errors.As(err, &pe) {
			if !errors.Is(err, io.EOF) {
				me.fault(0, "", "can't read the register: %s", err)
			}
			return nil, false
		}
		me.line = pe.StartLine
		me.fault(pe.Column, "", "not CSV: %s", pe.Err)
	}
}

// header determines the position of each column.
func (me *merge) header() bool {
	record, ok := me.read()
	if !ok {
		me.fault(0, "", "no header line")
		return false
	}
	me.width = len(record)
	columns := make(map[string]string)
	for _, column := range Columns() {
		columns[strings.ToLower(me.im.headers[column])] = column
	}
	for i, raw := range record {
		_, at := me.csv.FieldPos(i)
		header := strings.ToLower(strings.TrimSpace(raw))
		column, known := columns[header]
		if !known {
			me.report.IgnoredColumns = append(me.report.IgnoredColumns, strings.TrimSpace(raw))
		} else if _, duplicate := me.positions[column]; duplicate {
			me.fault(at, strings.TrimSpace(raw), "column appears twice in the header")
		} else {
			me.positions[column] = i
		}
	}
	for _, column := range required {
		if _, ok := me.positions[column]; !ok {
			me.fault(0, me.im.headers[column], "column is missing from the header")
		}
	}
	return len(me.faults) == 0
}

func (me *merge) rows() {
	for {
		record, ok := me.read()
		if !ok {
			return
		}
		if !slices.ContainsFunc(record, func(field string) bool { return strings.TrimSpace(field) != "" }) {
			me.report.BlankLines++
			continue
		}
		if me.report.Rows++; me.report.Rows > me.im.maxRows {
			me.fault(0, "", "register has more than %d lines", me.im.maxRows)
			return
		}
		if len(record) != me.width {
			me.fault(0, "", "%d fields, the header has %d", len(record), me.width)
			continue
		}
		me.row(record)
	}
}
