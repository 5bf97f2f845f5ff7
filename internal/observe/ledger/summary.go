package ledger

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Summary adds up records one by one. It keeps 16 bytes for each record, so
// that a day of the largest fleet (2,060 processes x 2,880 records) fits into
// the memory of an operator's command.
type Summary struct {
	seen                       map[uint64]uint64 // digest of each record by the digest of its path
	report                     Report
	stages, owners, workspaces lineSet
}

// NewSummary returns an empty Summary.
func NewSummary() *Summary {
	return &Summary{
		seen: make(map[uint64]uint64), report: Report{Total: Line{Name: "total"}},
		stages: lineSet{}, owners: lineSet{}, workspaces: lineSet{},
	}
}

// Add adds a record. A duplicate is ignored; two different records with the
// same path are an error, because one of them was altered.
func (su *Summary) Add(de Delta) error {
	text, err := json.Marshal(de)
	if err != nil {
		return err
	}
	path, digest := xxhash.Sum64String(de.Path()), xxhash.Sum64(text)
	if old, ok := su.seen[path]; ok {
		if old != digest {
			return fmt.Errorf("two different cost records %s", de.Path())
		}
		return nil
	}
	su.seen[path] = digest
	su.report.Records++
	for _, row := range de.Rows {
		su.stages.add(row.Service+"/"+row.Stage, row)
		su.owners.add(row.Owner, row)
		su.workspaces.add(row.Workspace, row)
		su.report.Total.add(row)
	}
	return nil
}

// Read adds exported records and returns the last one, whose OpID is empty if
// there was none.
func (su *Summary) Read(r io.Reader) (last Delta, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxRecordBytes)
	for number := 1; lines.Scan(); number++ {
		if last, err = parse(lines.Bytes()); err != nil {
			return Delta{}, fmt.Errorf("cost records line %d: %w", number, err)
		}
		if err := su.Add(last); err != nil {
			return Delta{}, err
		}
	}
	if err := lines.Err(); err != nil {
		return Delta{}, fmt.Errorf("cost records: %w", err)
	}
	return last, nil
}

// Report returns the sums of the records so far.
func (su *Summary) Report() Report {
	re := su.report
	total := re.Total.Agent.Cost
	re.ByStage, re.ByOwner, re.ByWorkspace = su.stages.lines(total), su.owners.lines(total), su.workspaces.lines(total)
	re.Total.share(total)
	return re
}

type lineSet map[string]*Line

func (ls lineSet) add(name string, row Row) {
	li, ok := ls[name]
	if !ok {
		li = &Line{Name: name}
		ls[name] = li
	}
	li.add(row)
}

func (ls lineSet) lines(total Units) []Line {
	lines := make([]Line, 0, len(ls))
	for _, name := range slices.SortedFunc(maps.Keys(ls), strings.Compare) {
		ls[name].share(total)
		lines = append(lines, *ls[name])
	}
	return lines
}
