// Package holds is the command `citronstream holds`.
package holds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// Command lists or lifts the holds on content that crashes upstreams.
type Command struct {
	List list `cmd:"" default:"withargs" help:"List the holds that the entries know."`
	Lift lift `cmd:"" help:"Lift the hold of a content at all processes."`
}

type list struct {
	operate.Flags
	JSON bool `name:"json" help:"Print one JSON object for each hold."`
}

// Run implements the command. It fails if an entry gives no answer.
func (li *list) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := li.Open(lo)
	if err != nil {
		return err
	}
	answers := cl.Each(ctx, http.MethodGet, "/v1/admin/holds", nil, operate.Progress())
	known, err := merge(answers)
	if err != nil {
		return err
	}
	if li.JSON {
		err = operate.WriteJSONLines(out, known)
	} else {
		err = write(out, known)
	}
	if err != nil {
		return err
	}
	return operate.Missing(answers)
}

// merge returns each digest once, with its latest hold and its latest lift,
// sorted by the time of the hold. Answers with an error are skipped.
func merge(answers []client.Answer) ([]poison.Hold, error) {
	byDigest := make(map[uint64]poison.Hold)
	for _, ans := range answers {
		if ans.Err != nil {
			continue
		}
		var holds []poison.Hold
		if err := json.Unmarshal(ans.Body, &holds); err != nil {
			return nil, fmt.Errorf("entry %s: %w", ans.Entry, err)
		}
		for _, ho := range holds {
			prev := byDigest[ho.Digest]
			lifted := latest(ho.Lifted, prev.Lifted)
			if prev.At.After(ho.At) {
				ho = prev
			}
			ho.Lifted = lifted
			byDigest[ho.Digest] = ho
		}
	}
	return slices.SortedFunc(maps.Values(byDigest), func(ho, other poison.Hold) int {
		return cmp.Or(ho.At.Compare(other.At), cmp.Compare(ho.Digest, other.Digest))
	}), nil
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// write prints the holds as a table.
func write(out io.Writer, known []poison.Hold) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DIGEST\tUPSTREAM\tHELD SINCE\tUNTIL\tSTATE")
	for _, ho := range known {
		state := "held"
		if !ho.Lifted.Before(ho.At) {
			state = "lifted"
		}
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\n", ho.Digest, ho.Upstream, ho.At.UTC().Format(time.RFC3339), ho.Until.UTC().Format(time.RFC3339), state)
	}
	return tw.Flush()
}

type lift struct {
	operate.Flags
	Digest uint64 `arg:"" help:"Digest of the content, as the list prints it."`
}

// Run implements the command. It sends the lift to all entries, so that
// the hold ends at once even while the table is unavailable.
func (li *lift) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := li.Open(lo)
	if err != nil {
		return err
	}
	answers := cl.Each(ctx, http.MethodPost, "/v1/admin/holds/lift", report.LiftHold{Digest: li.Digest}, operate.Progress())
	processes := 0
	for _, ans := range answers {
		var lifted report.LiftedHold
		if ans.Err == nil && json.Unmarshal(ans.Body, &lifted) == nil {
			processes += lifted.Processes
		}
	}
	if err := operate.Missing(answers); err != nil {
		return err
	}
	if processes == 0 {
		return fmt.Errorf("digest %d is not held", li.Digest)
	}
	_, err = fmt.Fprintf(out, "lifted at %d processes\n", processes)
	return err
}
