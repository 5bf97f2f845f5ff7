// Package doubts is the command `citronstream doubts`.
package doubts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// Command lists or lifts the intervals in which an owner of slots that died may
// have run calls whose idempotency keys have no row.
type Command struct {
	List list `cmd:"" default:"withargs" help:"List the intervals in force."`
	Lift lift `cmd:"" help:"Lift an interval, once the upstream's own records show what ran in it."`
}

type list struct {
	operate.Flags
	JSON bool `name:"json" help:"Print one JSON object for each interval."`
}

// Run implements the command.
func (li *list) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := li.Open(lo)
	if err != nil {
		return err
	}
	body, err := cl.First(ctx, http.MethodGet, "/v1/admin/doubts", nil)
	if err != nil {
		return err
	}
	var found []report.Doubt
	if err := json.Unmarshal(body, &found); err != nil {
		return err
	}
	if !li.JSON {
		return write(out, found)
	}
	return operate.WriteJSONLines(out, found)
}

func write(out io.Writer, found []report.Doubt) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tUPSTREAM\tEPOCH\tFROM\tTO\tREFUSES UNTIL\tSLOTS")
	for _, dt := range found {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\t%s\t%d\n", dt.Service, dt.Upstream, dt.Epoch, formatTime(dt.From), formatTime(dt.To), formatTime(dt.Until), dt.Slots)
	}
	return tw.Flush()
}

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339) }

type lift struct {
	operate.Flags
	Service  string `arg:"" help:"Service of the slots."`
	Upstream string `arg:"" help:"Upstream whose agent died."`
	Epoch    uint64 `arg:"" help:"Epoch of its grant, as the list prints it."`
}

// Run implements the command. The owners of the slots read the intervals every few
// seconds.
func (li *lift) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := li.Open(lo)
	if err != nil {
		return err
	}
	body, err := cl.First(ctx, http.MethodPost, "/v1/admin/doubts/lift", report.LiftDoubt{Service: li.Service, Upstream: li.Upstream, Epoch: li.Epoch})
	if err != nil {
		return err
	}
	var lifted report.LiftedDoubt
	if err := json.Unmarshal(body, &lifted); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "lifted at %d slots\n", lifted.Slots)
	return err
}
