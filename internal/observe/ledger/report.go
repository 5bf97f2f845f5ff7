package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// maxRecordBytes bounds one exported record. It equals DynamoDB's limit on the
// size of an item.
const maxRecordBytes = 400 << 10

// Line is the usage of one stage, owner or workspace, as each side counted it.
type Line struct {
	Name  string `json:"Name"`
	Entry Counts `json:"Entry"`
	Agent Counts `json:"Agent"`
	// Gap is the entries' cost less the agents', in millionths of a cost unit.
	Gap Units `json:"Gap"`
	// Share is this line's fraction, 0 to 1, of the cost that the agents counted.
	Share float64 `json:"Share"`
}

// Report sums up the usage of a set of records.
type Report struct {
	Records     int    `json:"Records"`
	ByStage     []Line `json:"ByStage"` // names are service/stage
	ByOwner     []Line `json:"ByOwner"`
	ByWorkspace []Line `json:"ByWorkspace"`
	Total       Line   `json:"Total"`
}

// Read returns the records of a day (UTC) whose key follows the key after, at
// most limit. To continue, pass the path of the last record as after; an empty
// result is the end.
func Read(ctx context.Context, table citronstream.Table, day time.Time, after string, limit int) ([]Delta, error) {
	prefix := DayPrefix(day)
	if after != "" && !strings.HasPrefix(after, prefix) {
		return nil, fmt.Errorf("cost records after %q: not a key of %s", after, prefix)
	}
	rows, err := table.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("cost records %s: %w", prefix, err)
	}
	deltas := make([]Delta, 0, len(rows))
	for _, row := range rows {
		de, err := parse(row.Value)
		if err != nil {
			return nil, fmt.Errorf("cost record %s: %w", row.Key, err)
		}
		if de.Path() != row.Key {
			return nil, fmt.Errorf("cost record %s belongs to %s", row.Key, de.Path())
		}
		deltas = append(deltas, de)
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
// its own copy of the export; a record that is exported more than once counts
// once.
func Recompute(r io.Reader) (Report, error) {
	su := NewSummary()
	if _, err := su.Read(r); err != nil {
		return Report{}, err
	}
	return su.Report(), nil
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

// Tally makes a Report from records.
func Tally(deltas []Delta) (Report, error) {
	su := NewSummary()
	for _, de := range deltas {
		if err := su.Add(de); err != nil {
			return Report{}, err
		}
	}
	return su.Report(), nil
}

func (li *Line) add(row Row) {
	if row.Side == SideEntry {
		li.Entry.add(row.Counts)
	} else {
		li.Agent.add(row.Counts)
	}
	li.Gap = li.Entry.Cost - li.Agent.Cost
}

func (li *Line) share(total Units) {
	if total > 0 {
		li.Share = float64(li.Agent.Cost) / float64(total)
	}
}
