// Package batch sends batches of stage work to upstreams.
package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

// maxAnswerBytes bounds the answer to a batch. A result takes about 60 bytes.
const maxAnswerBytes = 1 << 20

// reportTimeout bounds a request for an upstream's report. Upstreams answer it
// within a few ms, also while they run batches.
const reportTimeout = 300 * time.Millisecond

const (
	// releaseTimeout bounds the release of results. Upstreams drop results by
	// themselves after some seconds.
	releaseTimeout = 2 * time.Second
	// maxKnown bounds the remembered results in each of two generations. A late
	// copy of an answer arrives while its connection is in use, within seconds.
	maxKnown = 1 << 14
)

// Caller implements owner.Batcher.
type Caller struct {
	clk  citronstream.Clock
	log  logr.Logger
	pool *conns.Pool
	// parse returns the function that parses the heads of an upstream's responses.
	parse func(nd *node.Node) func(status int, header http.Header) citronstream.AnswerHead

	mu sync.Mutex
	// known has the results of answers so far, the newer and the older half.
	known, older map[string]bool
}

// Option configures a Caller.
type Option func(*Caller)

// WithParse sets what returns the function that parses the heads of an upstream's responses.
func WithParse(parse func(nd *node.Node) func(status int, header http.Header) citronstream.AnswerHead) Option {
	return func(ca *Caller) { ca.parse = parse }
}

// New returns a Caller that uses a pool of connections.
func New(clk citronstream.Clock, log logr.Logger, pool *conns.Pool, opts ...Option) *Caller {
	ca := &Caller{clk: clk, log: log, pool: pool, known: make(map[string]bool)}
	ca.parse = func(*node.Node) func(int, http.Header) citronstream.AnswerHead { return platform.ParseAnswer }
	for _, opt := range opts {
		opt(ca)
	}
	return ca
}

// learn remembers the results of an answer. It returns false if one of them was
// in an answer before. Answers to batches have no identifier, so this is how a
// second copy of an earlier answer is told from the answer that is due.
func (ca *Caller) learn(results []citronstream.ItemResult) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, re := range results {
		if re.Handle == "" {
			continue
		}
		if ca.known[re.Handle] || ca.older[re.Handle] {
			return false
		}
		if len(ca.known) >= maxKnown {
			ca.known, ca.older = make(map[string]bool), ca.known
		}
		ca.known[re.Handle] = true
	}
	return true
}

// Run implements owner.Batcher.
func (ca *Caller) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	return ca.RunReporting(ctx, nd, items, nil)
}

// RunReporting runs a batch like Run and calls written when the whole batch has been written
// to a connection, once or not at all.
func (ca *Caller) RunReporting(ctx context.Context, nd *node.Node, items []citronstream.BatchItem, written func()) ([]citronstream.ItemResult, bool, error) {
	body, err := platform.EncodeBatch(items)
	if err != nil {
		return nil, false, err
	}
	var results []citronstream.ItemResult
	check := func(answer []byte) (reuse bool, err error) {
		if results, err = platform.DecodeBatch(answer, len(items)); err == nil && !ca.learn(results) {
			err = errors.New("copy of an earlier answer")
		}
		return slices.ContainsFunc(results, func(re citronstream.ItemResult) bool { return re.Handle != "" }), err
	}
	status, refused, err := ca.call(ctx, nd, http.MethodPost, platform.PathBatch, body, written, check)
	switch {
	case err != nil && citronstream.VerdictOf(err) == citronstream.NotRun:
		nd.ConnectionBroke(ca.clk.Now())
		return nil, true, err
	case err != nil:
		return nil, false, err
	case refused:
		return nil, true, nil
	case status != http.StatusOK:
		return nil, false, fmt.Errorf("status %d", status)
	}
	return results, false, nil
}

// Release implements owner.Batcher. An upstream drops a result that is not
// released after some seconds, so an error is only logged, and nothing is sent in a
// pause that the upstream has asked for.
func (ca *Caller) Release(ctx context.Context, nd *node.Node, handles []string) {
	if _, paused := nd.Self.Paused(ca.clk.Now()); paused {
		return
	}
	body, err := platform.EncodeRelease(handles)
	if err == nil {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer ca.clk.AfterFunc(releaseTimeout, cancel).Stop()
		var status int
		status, _, err = ca.call(ctx, nd, http.MethodPost, platform.PathRelease, body, nil, func([]byte) (bool, error) { return true, nil })
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
	}
	if err != nil {
		ca.log.Info("release failed", "upstream", nd.ID, "results", len(handles), "reason", err.Error())
	}
}

// ResultAddress implements owner.Batcher.
func (ca *Caller) ResultAddress(handle string) string { return platform.ResultAddress(handle) }

// Free implements owner.Batcher.
func (ca *Caller) Free(ctx context.Context, nd *node.Node) (least, most int, err error) {
	err = ca.report(ctx, nd, func(answer []byte) (err error) {
		least, most, err = platform.DecodeFreeMemory(answer)
		return err
	})
	return least, most, err
}

// Working implements owner.Batcher.
func (ca *Caller) Working(ctx context.Context, nd *node.Node) (working bool, err error) {
	err = ca.report(ctx, nd, func(answer []byte) (err error) {
		working, err = platform.DecodeWorking(answer)
		return err
	})
	return working, err
}

// report fetches an upstream's report on itself.
func (ca *Caller) report(ctx context.Context, nd *node.Node, decode func(answer []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	status, _, err := ca.call(ctx, nd, http.MethodGet, platform.PathReport, nil, nil, func(answer []byte) (bool, error) { return true, decode(answer) })
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// call sends a request and passes the body of a 200 to check, which reports whether the
// connection may be used again. Nothing tells a copy of a refusal, a failure or an answer
// without results from the answer to the next batch, whose results would then go to the
// batch after it. The connection of such an answer is closed.
func (ca *Caller) call(ctx context.Context, nd *node.Node, method, path string, body []byte, written func(), check func(answer []byte) (reuse bool, err error)) (status int, refused bool, err error) {
	ans, err := ca.pool.Send(ctx, nd.Address, &conns.Request{
		Method: method, Target: path, Host: nd.Address, Header: platform.BatchHeader(nd.ID), Body: [][]byte{body},
		Written: written, Parse: ca.parse(nd),
	})
	if err != nil {
		return 0, false, err
	}
	defer ans.Close()
	nd.ObserveLoad(ans.Head.Load, ca.clk.Now())
	reuse := false
	answer, err := io.ReadAll(io.LimitReader(ans, maxAnswerBytes))
	switch {
	case err != nil:
	case ans.Head.Encoded:
		err = errors.New("answer has a content encoding")
	case ans.Status == http.StatusOK && !ans.Head.Refused:
		reuse, err = check(answer)
	}
	if err != nil || !reuse {
		ans.Invalidate()
	}
	return ans.Status, ans.Head.Refused, err
}
