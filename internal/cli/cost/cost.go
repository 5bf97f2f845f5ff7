// Package cost is the command `citronstream cost`.
package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/operator/client"
)

// Command reports the usage of a day, as counted by entries and by agents.
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
	export, err := co.openExport(out)
	if err != nil {
		return err
	}
	su := ledger.NewSummary()
	err = errors.Join(co.read(ctx, cl, su, export), export.Close())
	if err != nil {
		return fmt.Errorf("cost: %w", err)
	}
	if co.Export == "-" {
		return nil
	}
	re := su.Report()
	if co.JSON {
		return json.NewEncoder(out).Encode(re)
	}
	return write(out, re)
}

// nopCloser is a writer whose Close does nothing, for writers that stay open.
type nopCloser struct{ io.Writer }

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }

// openExport returns the writer that the records are exported to.
func (co *Command) openExport(out io.Writer) (io.WriteCloser, error) {
	switch co.Export {
	case "":
		return nopCloser{io.Discard}, nil
	case "-":
		return nopCloser{out}, nil
	}
	fi, err := os.OpenFile(co.Export, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--export: %w", err)
	}
	return fi, nil
}

// read fetches the records of the day page by page, adds them to su and exports them.
func (co *Command) read(ctx context.Context, cl *client.Client, su *ledger.Summary, export io.Writer) error {
	query := url.Values{}
	if co.Day != "" {
		query.Set("day", co.Day)
	}
	for {
		page, err := cl.First(ctx, http.MethodGet, "/v1/admin/cost?"+query.Encode(), nil)
		if err != nil {
			return err
		}
		last, err := su.Read(bytes.NewReader(page))
		if err != nil || last.OpID == "" {
			return err
		}
		if _, err := export.Write(page); err != nil {
			return fmt.Errorf("--export: %w", err)
		}
		// The day is always given, so that pages fetched after midnight are of the same day.
		query.Set("day", last.At.UTC().Format(time.DateOnly))
		query.Set("after", last.Path())
	}
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
			line(li.Name, strconv.FormatInt(li.Agent.Calls, 10), formatUnits(li.Agent.Cost), formatUnits(li.Entry.Cost), formatUnits(li.Gap),
				strconv.FormatInt(li.Agent.TokensIn, 10), strconv.FormatInt(li.Agent.TokensOut, 10), strconv.FormatFloat(100*li.Share, 'f', 1, 64)+"%")
		}
		line()
	}
	line("RECORDS", strconv.Itoa(re.Records))
	return tw.Flush()
}

func formatUnits(un ledger.Units) string { return strconv.FormatFloat(un.Float(), 'f', 3, 64) }
