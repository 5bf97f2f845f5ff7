// Package status is the command `citronstream status`.
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/dustin/go-humanize"
)

// Command shows the processes of a fleet and their versions.
type Command struct {
	operate.Flags
	JSON bool `name:"json" help:"Print one JSON object."`
}

// Summary is what --json prints.
type Summary struct {
	Entries []Entry         `json:"Entries"`
	Agents  []report.Status `json:"Agents"`
	// Silent lists the upstreams whose agent answered none of the entries.
	Silent []string `json:"Silent"`
	// Versions counts the processes by the version in force.
	Versions map[uint64]int `json:"Versions"`
}

// Entry is the status of an entry, or the error if it gave no answer.
type Entry struct {
	Name   string         `json:"Name"`
	Error  string         `json:"Error,omitempty"`
	Status *report.Status `json:"Status,omitempty"`
}

// Run implements the command. It fails if an entry gives no answer.
func (co *Command) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	fl, cl, err := co.Open(lo)
	if err != nil {
		return err
	}
	answers := cl.Each(ctx, http.MethodGet, "/v1/admin/status", nil, operate.Progress())
	su := summarise(fl, answers)
	if co.JSON {
		if err := json.NewEncoder(out).Encode(su); err != nil {
			return err
		}
	} else if err := su.write(out); err != nil {
		return err
	}
	return operate.Missing(answers)
}

// summarise merges the answers. Several entries report the same agent; the summary
// lists it once.
func summarise(fl *citronstream.Fleet, answers []client.Answer) Summary {
	su := Summary{Versions: make(map[uint64]int), Agents: []report.Status{}, Silent: []string{}}
	agents := make(map[string]report.Status)
	for i, ans := range answers {
		en := Entry{Name: ans.Entry}
		var st report.Status
		err := ans.Err
		if err == nil {
			err = json.Unmarshal(ans.Body, &st)
		}
		if err != nil {
			en.Error = err.Error()
			su.Entries = append(su.Entries, en)
			continue
		}
		for _, ag := range st.Agents {
			agents[ag.Process] = ag
		}
		st.Agents = nil
		answers[i].Body = nil
		en.Status = &st
		su.Versions[st.Version]++
		su.Entries = append(su.Entries, en)
	}
	for _, ag := range agents {
		su.Agents = append(su.Agents, ag)
		su.Versions[ag.Version]++
	}
	slices.SortFunc(su.Agents, func(ag, other report.Status) int { return cmp.Compare(ag.Process, other.Process) })
	for _, up := range fl.Upstreams {
		if _, ok := agents[up.Name]; !ok {
			su.Silent = append(su.Silent, up.Name)
		}
	}
	return su
}

// write prints the summary as tables.
func (su *Summary) write(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(fields ...string) { _, _ = fmt.Fprintln(tw, strings.Join(fields, "\t")) }
	line("ENTRY", "STATE", "VERSION", "IN FLIGHT", "STARTED")
	for _, en := range su.Entries {
		if en.Status == nil {
			line(en.Name, "no answer", "-", "-", "-")
			continue
		}
		line(row(en.Status)...)
	}
	line()
	line("AGENT", "STATE", "VERSION", "IN FLIGHT", "STARTED", "RUNNING", "WAITING", "SLOTS", "ROUTED AS")
	states := su.states()
	for i := range su.Agents {
		ag := &su.Agents[i]
		fields := row(ag)
		if lo := ag.Load; lo != nil {
			fields = append(fields, strconv.Itoa(lo.Running), strconv.Itoa(lo.Waiting), strconv.Itoa(len(lo.Slots)), states[ag.Process])
		}
		line(fields...)
	}
	for _, name := range su.Silent {
		line(name, "no answer", "-", "-", "-", "-", "-", "-", cmp.Or(states[name], "-"))
	}
	line()
	line("VERSION", "PROCESSES")
	for _, version := range su.versions() {
		line(strconv.FormatUint(version, 10), strconv.Itoa(su.Versions[version]))
	}
	return tw.Flush()
}

// versions returns the versions in force in ascending order.
func (su *Summary) versions() []uint64 {
	var versions []uint64
	for version := range su.Versions {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

// row returns the columns that the tables of entries and agents share.
func row(st *report.Status) []string {
	state := "ready"
	if st.NotReady != "" {
		state = st.NotReady
	}
	return []string{st.Process, state, strconv.FormatUint(st.Version, 10), strconv.Itoa(st.InFlight), humanize.Time(st.Started)}
}

// states returns the membership state of each upstream. If the entries disagree,
// it returns each state with the number of entries that report it.
func (su *Summary) states() map[string]string {
	counts := make(map[string]map[string]int)
	for _, en := range su.Entries {
		if en.Status == nil {
			continue
		}
		for _, up := range en.Status.Upstreams {
			if counts[up.Name] == nil {
				counts[up.Name] = make(map[string]int)
			}
			counts[up.Name][up.State]++
		}
	}
	states := make(map[string]string, len(counts))
	for name, byState := range counts {
		var parts []string
		for state, count := range byState {
			if len(byState) == 1 {
				parts = append(parts, state)
				continue
			}
			parts = append(parts, fmt.Sprintf("%s (%d)", state, count))
		}
		slices.Sort(parts)
		states[name] = strings.Join(parts, ", ")
	}
	return states
}
