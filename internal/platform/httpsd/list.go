// Package httpsd is a client of the platform's list of live and leaving
// instances, in the JSON format of Prometheus HTTP service discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/httphead"
	"github.com/prometheus/common/model"
)

// defaultMaxBytes bounds an answer. The list of a full-size fleet of 2,060
// processes takes about 300 KB.
const defaultMaxBytes = 4 << 20

// callTimeout bounds a call.
const callTimeout = 2 * time.Second

// List implements citronstream.Liveness.
type List struct {
	clk      citronstream.Clock
	url      string
	http     *http.Client
	maxBytes int64
}

// Option changes a List.
type Option func(*List)

// WithMaxBytes bounds an answer; the default is 4 MiB.
func WithMaxBytes(size int64) Option { return func(li *List) { li.maxBytes = size } }

// New returns a client of the list at a URL.
func New(clk citronstream.Clock, url string, opts ...Option) *List {
	li := &List{clk: clk, url: url, maxBytes: defaultMaxBytes}
	for _, opt := range opts {
		opt(li)
	}
	li.http = &http.Client{Transport: httphead.New(&http.Transport{
		DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, IdleConnTimeout: time.Minute,
	})}
	return li
}

// List implements citronstream.Liveness. The instances are sorted by name. One
// invalid entry makes the whole answer an error: an instance that is missing
// from the list counts as ended, and others then take over what it owns.
func (li *List) List(ctx context.Context) ([]citronstream.InstanceState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer li.clk.AfterFunc(callTimeout, cancel).Stop()
	body, err := li.fetch(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: instance list: %w", citronstream.ErrUnavailable, err)
	}
	states, err := parse(body)
	if err != nil {
		return nil, fmt.Errorf("%w: instance list: %w", citronstream.ErrUnavailable, err)
	}
	return states, nil
}

func (li *List) fetch(ctx context.Context) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, li.url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	res, err := li.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	if kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, fmt.Errorf("content type %q is not application/json", res.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, li.maxBytes+1))
	if err == nil && int64(len(body)) > li.maxBytes {
		err = fmt.Errorf("answer is larger than %d bytes", li.maxBytes)
	}
	return body, err
}

type group struct {
	Targets []string       `json:"targets"`
	Labels  model.LabelSet `json:"labels"`
}

// parse decodes the list. An instance in several groups is leaving if any of
// them says so.
func parse(body []byte) ([]citronstream.InstanceState, error) {
	var groups []group
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, err
	}
	if len(groups) == 0 {
		// The caller's own instance is always on the list, so an empty list is
		// an error of the platform.
		return nil, errors.New("the list is empty")
	}
	byName := make(map[string]citronstream.InstanceState, len(groups))
	for i, gr := range groups {
		inst, err := gr.state()
		if err != nil {
			return nil, fmt.Errorf("group %d: %w", i, err)
		}
		if old, ok := byName[inst.Instance]; ok {
			if old.Zone != inst.Zone {
				return nil, fmt.Errorf("group %d: instance %q is in the zones %q and %q", i, inst.Instance, old.Zone, inst.Zone)
			}
			inst.Leaving = inst.Leaving || old.Leaving
		}
		byName[inst.Instance] = inst
	}
	states := make([]citronstream.InstanceState, 0, len(byName))
	for _, inst := range byName {
		states = append(states, inst)
	}
	slices.SortFunc(states, func(inst, other citronstream.InstanceState) int {
		return strings.Compare(inst.Instance, other.Instance)
	})
	return states, nil
}

func (gr group) state() (citronstream.InstanceState, error) {
	inst := citronstream.InstanceState{Instance: string(gr.Labels["instance"]), Zone: string(gr.Labels["zone"])}
	if inst.Instance == "" || inst.Zone == "" {
		return inst, errors.New("label instance or zone is missing")
	}
	switch gr.Labels["state"] {
	case "live":
	case "leaving":
		inst.Leaving = true
	default:
		return inst, fmt.Errorf("label state of instance %q is %q, want live or leaving", inst.Instance, gr.Labels["state"])
	}
	return inst, nil
}

var _ citronstream.Liveness = (*List)(nil)
