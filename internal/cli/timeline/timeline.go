// Package timeline is the command `citronstream timeline`.
package timeline

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// Command shows the events of all processes in causal order.
type Command struct {
	operate.Flags
	Request  string   `help:"Events of this request only." placeholder:"ID"`
	Upstream string   `help:"Events of this upstream only." placeholder:"NAME"`
	Process  []string `help:"Events of this process only; may be repeated." placeholder:"NAME"`
	Kind     string   `help:"Events of this kind only." placeholder:"KIND"`
	Since    string   `help:"Events since then: a duration such as 5m or a time such as 2026-01-02T15:04:05Z." placeholder:"TIME"`
	Limit    int      `help:"Latest events only." default:"1000"`
	JSON     bool     `name:"json" help:"Print one JSON object for each event."`
}

// Run implements the command. It prints the events it received; if an entry gives
// no answer it then fails, because events may be missing.
func (co *Command) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	_, cl, err := co.Open(lo)
	if err != nil {
		return err
	}
	answers := cl.Each(ctx, http.MethodGet, "/v1/admin/timeline?"+co.query().Encode(), nil, operate.Progress())
	var lists [][]citronstream.Event
	for i := range answers {
		if answers[i].Err != nil {
			continue
		}
		var re report.Timeline
		if answers[i].Err = json.Unmarshal(answers[i].Body, &re); answers[i].Err == nil {
			lists = append(lists, re.Events)
		}
	}
	events := timeline.Filter{Limit: co.Limit}.Apply(timeline.Merge(lists...))
	write := timeline.WriteText
	if co.JSON {
		write = timeline.WriteJSON
	}
	if err := write(out, events); err != nil {
		return err
	}
	return operate.Missing(answers)
}

// query returns the query parameters for the flags.
func (co *Command) query() url.Values {
	qu := url.Values{"limit": {strconv.Itoa(co.Limit)}}
	for key, value := range map[string]string{"request": co.Request, "upstream": co.Upstream, "kind": co.Kind, "since": co.Since} {
		if value != "" {
			qu.Set(key, value)
		}
	}
	for _, name := range co.Process {
		qu.Add("process", name)
	}
	return qu
}
