// Package cost is the command `citronstream cost`.
package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/observe/ledger"
)

// Command reports the usage of a day, as entries and agents counted it.
type Command struct {
	operate.Flags
	Day    string `help:"Day in UTC, such as 2026-01-02; the default is today." placeholder:"DATE"`
	Export string `help:"Write the records as JSON lines to this file; - is standard output." placeholder:"FILE"`
	JSON   bool   `name:"json" help:"Print the report as one JSON object."`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := co.Open(lo)
	if err != nil {
		return err
	}
	path := "/v1/admin/cost"
	if co.Day != "" {
		path += "?day=" + co.Day
	}
	records, err := cl.First(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("cost: %w", err)
	}
	if co.Export == "-" {
		_, err = out.Write(records)
		return err
	}
	if co.Export != "" {
		if err := os.WriteFile(co.Export, records, 0o600); err != nil {
			return fmt.Errorf("--export: %w", err)
		}
	}
	re, err := ledger.Recompute(bytes.NewReader(records))
	if err != nil {
		return fmt.Errorf("cost: %w", err)
	}
	if co.JSON {
		return json.NewEncoder(out).Encode(re)
	}
	return write(out, re)
}

func write(out io.Writer, re ledger.Report) error {
	tw := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(fields ...string) { _, _ = fmt.Fprintln(tw, strings.Join(fields, "\t")) }
	for _, part := range []struct {
		head  string
		lines []ledger.Line
	}{{"STAGE", re.ByStage}, {"OWNER", re.ByOwner}, {"WORKSPACE", re.ByWorkspace}, {"TOTAL", []ledger.Line{re.Total}}} {
		line(part.head, "CALLS", "COST (AGENTS)", "COST (ENTRIES)", "GAP", "TOKENS IN", "TOKENS OUT", "SHARE")
		for _, li := range part.lines {
			line(li.Name, strconv.FormatInt(li.Agent.Calls, 10), units(li.Agent.Cost), units(li.Entry.Cost), units(li.Gap),
				strconv.FormatInt(li.Agent.TokensIn, 10), strconv.FormatInt(li.Agent.TokensOut, 10), strconv.FormatFloat(100*li.Share, 'f', 1, 64)+"%")
		}
		line()
	}
	line("RECORDS", strconv.Itoa(re.Records))
	return tw.Flush()
}

func units(un ledger.Units) string { return strconv.FormatFloat(un.Float(), 'f', 3, 64) }
