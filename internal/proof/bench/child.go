package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"runtime"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/platform/dynamodb"
	"github.com/citronstream/citronstream/internal/platform/s3"
	"github.com/citronstream/citronstream/internal/process/agent"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/standin/memlist"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Child says which process to run and measure.
type Child struct {
	Role    string `json:"Role"` // entry or agent
	Name    string `json:"Name"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"` // of an entry, for callers
	Table   string `json:"Table"`   // endpoints of the platform's stand-ins
	Objects string `json:"Objects"`
	Threads int    `json:"Threads"` // GOMAXPROCS; 0 leaves the default
}

// Serve runs the process until in ends, and writes a Sample for each line read.
func (ch Child) Serve(ctx context.Context, in io.Reader, out io.Writer) error {
	if ch.Threads > 0 {
		runtime.GOMAXPROCS(ch.Threads)
	}
	clk := clockwork.NewRealClock()
	eng, err := nbconn.New()
	if err != nil {
		return err
	}
	defer eng.Stop()
	pl := citronstream.Platform{
		Table: dynamodb.New(clk, ch.Table), Objects: s3.New(clk, ch.Objects),
		Liveness: memlist.New(clk, 0),
	}
	me := &Meter{}
	state, stop, err := ch.start(ctx, clk, eng, pl, me)
	if err != nil {
		return err
	}
	defer stop()
	lines, enc := bufio.NewScanner(in), json.NewEncoder(out)
	for lines.Scan() {
		if lines.Text() == "collect" {
			runtime.GC()
		}
		sa, err := Usage()
		if err != nil {
			return err
		}
		sa.Links, sa.Version = state()
		sa.Wire = me.Wire()
		if err := enc.Encode(sa); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (ch Child) start(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, pl citronstream.Platform, me *Meter) (func() (int, uint64), func(), error) {
	if ch.Role == "entry" {
		en := entry.New(ctx, clk, eng, entry.Settings{
			Name: ch.Name, Zone: ch.Zone, Seed: 1, Platform: pl, Limits: citronstream.DefaultLimits(),
		}, ch.Address, logr.Discard())
		return func() (int, uint64) { return int(en.Agents.Counts().Links.Load()), en.Version() }, en.Stop, en.Start()
	}
	ag, err := agent.Bootstrap(ctx, clk, eng, agent.Settings{Upstream: ch.Name, Platform: pl, Stream: me.Wrap}, logr.Discard())
	if err != nil {
		return nil, nil, err
	}
	links := func() (int, uint64) { return len(linksOf(ag)), ag.Config.Version() }
	return links, ag.Stop, ag.Start(ctx)
}
