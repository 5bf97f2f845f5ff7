package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/dialer"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/process/agent"
	"github.com/citronstream/citronstream/internal/standin/pool"
)

// The pace of idle heartbeats of design section 3, for the peers' own number of links.
const (
	pingBytes = 300
	idleBytes = 3000
)

// Pace returns how often a process with this number of links checks an idle one.
func Pace(links int) time.Duration {
	return max(time.Second, time.Duration(links)*pingBytes*time.Second/idleBytes)
}

func linksOf(ag *agent.Agent) map[string]*link.Link {
	links := make(map[string]*link.Link)
	ag.Server.Links(func(name string, li *link.Link) { links[name] = li })
	return links
}

// agentPace is how long an agent lets an idle link be quiet.
const agentPace = time.Minute

// Agents are minimal agents with their upstreams: they answer each call at
// once, and check idle links as agents do.
type Agents struct {
	Meter   *Meter
	Version atomic.Uint64
	// Other, if set before the first link, hears the methods that are neither
	// greetings nor calls.
	Other func(method string)
	// Told, if set before the first link, hears the versions that the entry
	// tells an upstream's agent. It must not block.
	Told func(li *link.Link, upstream string, version uint64)

	ctx  context.Context
	clk  citronstream.Clock
	eng  *nbconn.Engine
	kind map[string]string // of services
}

// NewAgents listens for a fleet's upstreams until ctx ends.
func NewAgents(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, fl *citronstream.Fleet, ups []citronstream.Upstream) (*Agents, error) {
	as := &Agents{Meter: &Meter{}, ctx: ctx, clk: clk, eng: eng, kind: make(map[string]string)}
	as.Version.Store(fl.Version)
	for _, se := range fl.Services {
		as.kind[se.Name] = se.Kind
	}
	for _, up := range ups {
		ln, err := net.Listen("tcp", up.Agent)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = ln.Close() })
		go as.accept(ln, up)
	}
	return as, nil
}

// accept ends when ctx ends and closes the listener.
func (as *Agents) accept(ln net.Listener, up citronstream.Upstream) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		st, err := as.eng.Attach(nc)
		if err != nil {
			continue
		}
		link.New(as.ctx, as.clk, as.Meter.Wrap(st), func(li *link.Link, re *link.Request) { as.handle(li, re, up) },
			link.WithIdlePing(func() time.Duration { return agentPace }), link.WithVersion(as.Version.Load, func(*link.Link, uint64) {}))
	}
}

func (as *Agents) handle(li *link.Link, re *link.Request, up citronstream.Upstream) {
	lo := citronstream.Load{Upstream: up.Name, Seq: uint64(as.clk.Now().UnixNano()), Capacity: up.Capacity, Rate: 1000, Models: up.Models, Epoch: 1, Version: as.Version.Load()}
	switch re.Method {
	case citronstream.MethodHello:
		re.Reply(citronstream.Hello{Name: up.Name, Role: "agent", Epoch: 1, Boot: up.Name, Version: lo.Version, Load: &lo})
	case citronstream.MethodStart:
		var ca citronstream.Call
		if re.Decode(&ca) != nil {
			return
		}
		body := []byte(`{"Answer":"done"}`)
		if ca.Streams {
			go stream(li, re, ca, lo)
			return
		}
		if kind := as.kind[up.Service]; kind != citronstream.KindPlain && kind != citronstream.KindEngine {
			body = pool.Answer(kind, ca.Body)
		}
		re.Reply(citronstream.Result{
			AttemptID: ca.AttemptID, Upstream: up.Name, Status: 200, Body: body, Length: len(body),
			Checksum: citronstream.Digest(body), Usage: citronstream.Usage{Cost: ca.Cost}, Load: &lo, Version: lo.Version,
		})
	case citronstream.MethodVersion:
		var no citronstream.VersionNotice
		if as.Told != nil && re.Decode(&no) == nil {
			as.Told(li, up.Name, no.Version)
		}
		fallthrough
	default:
		if as.Other != nil {
			as.Other(re.Method)
		}
		re.Reply(json.RawMessage(`{}`))
	}
}

// stream answers with as many tokens as the call asks for, a chunk each. It
// ends with the answer.
func stream(li *link.Link, re *link.Request, ca citronstream.Call, lo citronstream.Load) {
	var ask struct {
		Tokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(ca.Body, &ask) // none asks for no tokens
	text := []byte(" token")
	for i := range ask.Tokens {
		_ = li.Notify(citronstream.MethodChunk, citronstream.Chunk{AttemptID: ca.AttemptID, Seq: i, Data: text})
	}
	whole := bytes.Repeat(text, ask.Tokens)
	re.Reply(citronstream.Result{
		AttemptID: ca.AttemptID, Upstream: lo.Upstream, Status: 200, Length: len(whole), Checksum: citronstream.Digest(whole),
		Chunks: ask.Tokens, Usage: citronstream.Usage{Cost: ca.Cost, TokensOut: ask.Tokens}, Load: &lo, Version: lo.Version,
	})
}

// Entries are minimal entries with one link each to an agent, which check
// idle links at the pace of a full-size entry.
type Entries []*dialer.Dialer

// NewEntries connects entries to an agent until ctx ends.
func NewEntries(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, entries []citronstream.Entry, address string, version uint64, agents int) Entries {
	var es Entries
	for _, en := range entries {
		hello := citronstream.Hello{Name: en.Name, Role: "entry", Boot: en.Name, Started: clk.Now(), Version: version}
		greet := func(ctx context.Context, li *link.Link) error {
			var he citronstream.Hello
			return li.Call(ctx, citronstream.MethodHello, hello, &he)
		}
		es = append(es, dialer.New(ctx, clk, eng, address, func(*link.Link, *link.Request) {}, dialer.WithUp(greet),
			dialer.WithLinkOptions(link.WithIdlePing(func() time.Duration { return Pace(agents) }),
				link.WithVersion(func() uint64 { return version }, func(*link.Link, uint64) {}))))
	}
	return es
}
