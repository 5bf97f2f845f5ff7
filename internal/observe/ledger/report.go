package ledger

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// maxRecord is the most bytes that one exported record may have. It equals
// DynamoDB's limit on an item.
const maxRecord = 400 << 10

// Line is the usage of one stage, owner or workspace, as each side counted it.
type Line struct {
	Name  string `json:"Name"`
	Entry Counts `json:"Entry"`
	Agent Counts `json:"Agent"`
	// Gap is the entries' cost less the agents', in millionths of a cost unit.
	Gap Units `json:"Gap"`
	// Share is this line's part, 0 to 1, of the cost that the agents counted.
	Share float64 `json:"Share"`
}

// Report is the usage of a set of records.
type Report struct {
	Records     int    `json:"Records"`
	ByStage     []Line `json:"ByStage"` // named service/stage
	ByOwner     []Line `json:"ByOwner"`
	ByWorkspace []Line `json:"ByWorkspace"`
	Total       Line   `json:"Total"`
}

// Read returns the records of a day (UTC). With processes it reads each one's
// records separately; without, the whole day's. At most limit rows are read
// in one listing; a listing that reaches the limit is an error, because a
// report on a part of the records would be wrong.
func Read(ctx context.Context, table citronstream.Table, day time.Time, limit int, processes ...string) ([]Delta, error) {
	prefixes := []string{DayPrefix(day)}
	if len(processes) > 0 {
		prefixes = nil
		for _, process := range processes {
			prefixes = append(prefixes, DayPrefix(day)+process+"/")
		}
	}
	var deltas []Delta
	for _, prefix := range prefixes {
		rows, err := table.List(ctx, prefix, limit)
		if err != nil {
			return nil, fmt.Errorf("cost records %s: %w", prefix, err)
		}
		if len(rows) >= limit {
			return nil, fmt.Errorf("cost records %s: more than %d rows, read them by process or with a higher limit", prefix, limit)
		}
		for _, row := range rows {
			de, err := parse(row.Value)
			if err != nil {
				return nil, fmt.Errorf("cost record %s: %w", row.Key, err)
			}
			deltas = append(deltas, de)
		}
	}
	return deltas, nil
}

// Export writes records as JSON lines.
func Export(w io.Writer, deltas []Delta) error {
	enc := json.NewEncoder(w)
	for _, de := range deltas {
		if err := enc.Encode(de); err != nil {
			return err
		}
	}
	return nil
}

// Recompute makes a Report from exported records. Either owner can run it on
// its own copy of the export; concatenated and repeated exports count once.
func Recompute(r io.Reader) (Report, error) {
	var deltas []Delta
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxRecord)
	for number := 1; lines.Scan(); number++ {
		de, err := parse(lines.Bytes())
		if err != nil {
			return Report{}, fmt.Errorf("cost records line %d: %w", number, err)
		}
		deltas = append(deltas, de)
	}
	if err := lines.Err(); err != nil {
		return Report{}, fmt.Errorf("cost records: %w", err)
	}
	return Tally(deltas)
}

func parse(data []byte) (Delta, error) {
	var de Delta
	if err := json.Unmarshal(data, &de); err != nil {
		return de, err
	}
	if de.Process == "" || de.OpID == "" {
		return de, errors.New("fields Process and OpID are required")
	}
	for i, row := range de.Rows {
		if row.Side != SideEntry && row.Side != SideAgent {
			return de, fmt.Errorf("field Rows[%d].Side is %q, known: entry, agent", i, row.Side)
		}
		if err := row.check(); err != nil {
			return de, fmt.Errorf("field Rows[%d]: %w", i, err)
		}
	}
	return de, nil
}

// Tally adds up records. A record that occurs twice counts once; two
// different records under one identity are an error, since one of them was
// altered.
func Tally(deltas []Delta) (Report, error) {
	re := Report{Total: Line{Name: "total"}}
	seen := make(map[string]string)
	stages, owners, workspaces := lineSet{}, lineSet{}, lineSet{}
	for _, de := range deltas {
		text, err := json.Marshal(de)
		if err != nil {
			return Report{}, err
		}
		path := de.Path()
		if old, ok := seen[path]; ok {
			if old != string(text) {
				return Report{}, fmt.Errorf("two different cost records %s", path)
			}
			continue
		}
		seen[path] = string(text)
		re.Records++
		for _, row := range de.Rows {
			stages.add(row.Service+"/"+row.Stage, row)
			owners.add(row.Owner, row)
			workspaces.add(row.Workspace, row)
			re.Total.add(row)
		}
	}
	whole := re.Total.Agent.Cost
	re.ByStage, re.ByOwner, re.ByWorkspace = stages.lines(whole), owners.lines(whole), workspaces.lines(whole)
	re.Total.share(whole)
	return re, nil
}

func (li *Line) add(row Row) {
	if row.Side == SideEntry {
		li.Entry.add(row.Counts)
	} else {
		li.Agent.add(row.Counts)
	}
	li.Gap = li.Entry.Cost - li.Agent.Cost
}

func (li *Line) share(whole Units) {
	if whole > 0 {
		li.Share = float64(li.Agent.Cost) / float64(whole)
	}
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

func (ls lineSet) lines(whole Units) []Line {
	lines := make([]Line, 0, len(ls))
	for _, name := range slices.SortedFunc(maps.Keys(ls), strings.Compare) {
		ls[name].share(whole)
		lines = append(lines, *ls[name])
	}
	return lines
}
