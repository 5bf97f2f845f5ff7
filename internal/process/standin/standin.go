// Package standin runs the stand-ins of a fleet's platform and upstreams in
// one process, for tests with separate daemons.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/standin/dynamodb"
	"github.com/citronstream/citronstream/internal/standin/httpsd"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/s3"
)

// Parts that a Host can run.
const (
	Table     = "table"
	Objects   = "objects"
	Weights   = "weights"
	List      = "list"
	Upstreams = "upstreams"
)

// Parts lists all parts.
func Parts() []string { return []string{Table, Objects, Weights, List, Upstreams} }

// listLag is the delay of the platform's instance list.
const listLag = time.Second

// weightPrefix is the object key prefix of model weights.
const weightPrefix = "weights/"

// headerTimeout bounds reading a request's header.
const headerTimeout = 10 * time.Second

// Host runs stand-ins.
type Host struct {
	clk      citronstream.Clock
	settings *settings.Settings
	parts    []string
	log      *record.Log
	wg       sync.WaitGroup
}

// New returns a host of the named parts, or of all if none is named. The
// addresses are those under Platform and of the Fleet's upstreams in the settings.
func New(clk citronstream.Clock, set *settings.Settings, only ...string) (*Host, error) {
	for _, part := range only {
		if !slices.Contains(Parts(), part) {
			return nil, fmt.Errorf("unknown part %q, known: %s", part, strings.Join(Parts(), ", "))
		}
	}
	if set.Fleet == nil {
		return nil, errors.New("settings key Fleet: missing")
	}
	return &Host{clk: clk, settings: set, parts: only, log: record.New(clk)}, nil
}

func (ho *Host) runs(part string) bool { return len(ho.parts) == 0 || slices.Contains(ho.parts, part) }

// Start starts the parts, which run until ctx ends.
func (ho *Host) Start(ctx context.Context) error {
	pl := ho.settings.Platform
	if ho.runs(Table) {
		if err := ho.serve(ctx, "Table.Endpoint", pl.Table.Endpoint, dynamodb.New(memtable.New(ho.clk))); err != nil {
			return err
		}
	}
	if ho.runs(Objects) || ho.runs(Weights) {
		if err := ho.serve(ctx, "Objects.Endpoint", pl.Objects.Endpoint, ho.store()); err != nil {
			return err
		}
	}
	if ho.runs(List) {
		if err := ho.serve(ctx, "Liveness.URL", pl.Liveness.URL, ho.list()); err != nil {
			return err
		}
	}
	if !ho.runs(Upstreams) {
		return nil
	}
	for _, up := range ho.settings.Fleet.Upstreams {
		st, err := newUpstream(ho.clk, ho.settings.Fleet, up, ho.log)
		if err != nil {
			return err
		}
		if err := st.Start(ctx, up.Address); err != nil {
			return fmt.Errorf("upstream %s: %w", up.Name, err)
		}
		ho.wg.Go(func() { <-st.Done() })
	}
	return nil
}

// Wait returns when all parts have ended.
func (ho *Host) Wait() { ho.wg.Wait() }

func (ho *Host) store() http.Handler {
	se := s3.New(ho.clk, s3.WithWeightRate(weightPrefix, ho.settings.Fleet.Limits.WeightBytesPerSec))
	if ho.runs(Weights) {
		for _, mo := range ho.settings.Fleet.Models {
			se.SetWeights(ho.settings.Platform.Objects.Bucket, weightPrefix+mo.Name, mo.Bytes)
		}
	}
	return se
}

func (ho *Host) list() http.Handler {
	se := httpsd.New(ho.clk, listLag)
	var states []citronstream.InstanceState
	for _, inst := range ho.settings.Fleet.Instances {
		states = append(states, citronstream.InstanceState{Instance: inst.Name, Zone: inst.Zone})
	}
	se.Set(states)
	return se
}

// serve runs a handler at the host and port of a URL.
func (ho *Host) serve(ctx context.Context, key, address string, ha http.Handler) error {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" {
		return fmt.Errorf("settings key Platform.%s: a stand-in needs an http URL with a port", key)
	}
	ln, err := net.Listen("tcp", parsed.Host)
	if err != nil {
		return fmt.Errorf("settings key Platform.%s: %w", key, err)
	}
	srv := &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	ho.wg.Go(func() {
		defer stop()
		_ = srv.Serve(ln) // ends with ErrServerClosed
	})
	return nil
}
