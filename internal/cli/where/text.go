package where

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/citronstream/citronstream"
)

// write prints an answer as text.
func write(out io.Writer, wh *citronstream.Where) error {
	tw := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(tw, format+"\n", values...) }
	line("gateway\t%s", wh.Gateway)
	if wh.Route != "" {
		line("route\t%s, rank %d", wh.Route, wh.RouteRank)
		line("workspace\t%s, rank %d%s", cmp.Or(wh.Workspace, "none"), wh.Rank, raised(wh))
	}
	line("service\t%s%s", wh.Service, split(wh))
	if wh.Regions != "" {
		line("regions\t%s", wh.Regions)
	}
	if wa := wh.Admission; wa != nil {
		writeAdmission(line, wa)
	}
	if len(wh.Queues) > 0 {
		line("")
		line("STAGE\tSERVICE\tOWNER\tPIECES\tWAIT\tWAITING\tLATE\tRATE\tAGE")
	}
	for _, wq := range wh.Queues {
		state := "-\t-\t-\tnot told"
		if wq.Known {
			state = fmt.Sprintf("%d\t%d\t%.1f/s\t%.0f ms", wq.Waiting, wq.Late, wq.Rate, wq.AgeMs)
		}
		if wq.PausedMs > 0 {
			state += fmt.Sprintf(", all upstreams in a pause for %.0f ms", wq.PausedMs)
		}
		line("%d\t%s\t%s\t%d\t%.0f ms\t%s", wq.Stage, wq.Service, owner(wq), wq.Pieces, wq.WaitMs, state)
	}
	writeChoice(line, wh)
	return tw.Flush()
}

func raised(wh *citronstream.Where) string {
	if wh.Raised {
		return ", raised as its route is hardly served"
	}
	return ""
}

func owner(wq citronstream.WhereQueue) string {
	if wq.Own {
		return wq.Owner + " (this one)"
	}
	return wq.Owner
}

// split returns the weights of the route's services, if it has several.
func split(wh *citronstream.Where) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(wh.Split)) {
		parts = append(parts, fmt.Sprintf("%s %g", name, wh.Split[name]))
	}
	if len(parts) == 0 {
		return ""
	}
	return ", of " + strings.Join(parts, ", ")
}

func writeAdmission(line func(format string, values ...any), wa *citronstream.WhereAdmission) {
	verdict := "admitted"
	if !wa.Admit {
		verdict = fmt.Sprintf("refused, to come back after about %.0f ms", wa.RetryAfterMs)
	}
	line("admission\t%s: %s", verdict, wa.Reason)
	if wa.TargetMs > 0 || wa.LeftMs > 0 {
		line("\tneeds %.0f ms of %.0f ms to its target, then %.0f ms; deadline in %.0f ms", wa.NeedsMs, wa.TargetMs, wa.RestMs, wa.LeftMs)
	}
	if wa.WaitFor != "" {
		line("\tlongest wait %.0f ms, for service %s", wa.WaitMs, wa.WaitFor)
	}
}

// writeChoice prints the upstreams and their costs.
func writeChoice(line func(format string, values ...any), wh *citronstream.Where) {
	if wh.Route != "" {
		line("")
		line("upstream\t%s", cmp.Or(wh.Chosen, "none: "+wh.NoChoice))
	}
	if wh.Home != "" {
		known := "not known to have them"
		if wh.HomeKnown {
			known = "known to have them"
		}
		line("shared parts\t%s, %s", wh.Home, known)
	}
	if len(wh.Candidates) > 0 {
		line("")
		line("CANDIDATE\tZONE\tCOST\tTERMS\tFIGURES (source, age)")
	}
	for _, ca := range wh.Candidates {
		var terms, figures []string
		for _, te := range ca.Terms {
			if te.Cost != 0 {
				terms = append(terms, fmt.Sprintf("%s %.4g", te.Name, te.Cost))
			}
		}
		for _, fi := range ca.Figures {
			figures = append(figures, fmt.Sprintf("%s %.4g (%s, %.0f ms)", fi.Name, fi.Value, fi.Source, fi.AgeMs))
		}
		line("%s\t%s\t%.4g\t%s\t%s", ca.Upstream, ca.Zone, ca.Cost, cmp.Or(strings.Join(terms, ", "), "-"), strings.Join(figures, ", "))
	}
	if len(wh.Excluded) > 0 {
		line("")
		line("EXCLUDED\tZONE\tREASON")
	}
	for _, ex := range wh.Excluded {
		line("%s\t%s\t%s", ex.Upstream, ex.Zone, ex.Reason)
	}
}
