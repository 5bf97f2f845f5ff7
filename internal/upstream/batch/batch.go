// Package batch sends batches of stage work to upstreams.
package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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

// Caller implements owner.Batcher.
type Caller struct {
	clk  citronstream.Clock
	log  logr.Logger
	pool *conns.Pool
}

// New returns a Caller that uses a pool of connections.
func New(clk citronstream.Clock, log logr.Logger, pool *conns.Pool) *Caller {
	return &Caller{clk: clk, log: log, pool: pool}
}

// Run implements owner.Batcher.
func (ca *Caller) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	body, err := platform.EncodeBatch(items)
	if err != nil {
		return nil, false, err
	}
	answer, status, refused, err := ca.post(ctx, nd, platform.PathBatch, body)
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
	results, err := platform.DecodeBatch(answer, len(items))
	return results, false, err
}

// Release implements owner.Batcher. An upstream drops a result that is not
// released after some seconds, so an error is only logged.
func (ca *Caller) Release(ctx context.Context, nd *node.Node, handles []string) {
	body, err := platform.EncodeRelease(handles)
	if err == nil {
		var status int
		_, status, _, err = ca.post(ctx, nd, platform.PathRelease, body)
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
func (ca *Caller) Free(ctx context.Context, nd *node.Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, status, _, err := ca.call(ctx, nd, http.MethodGet, platform.PathReport, nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	return platform.DecodeFreeMemory(answer)
}

func (ca *Caller) post(ctx context.Context, nd *node.Node, path string, body []byte) (answer []byte, status int, refused bool, err error) {
	return ca.call(ctx, nd, http.MethodPost, path, body)
}

func (ca *Caller) call(ctx context.Context, nd *node.Node, method, path string, body []byte) (answer []byte, status int, refused bool, err error) {
	ans, err := ca.pool.Send(ctx, nd.Address, &conns.Request{
		Method: method, Target: path, Host: nd.Address, Header: platform.BatchHeader(nd.ID), Body: body,
		Parse: platform.ParseAnswer,
	})
	if err != nil {
		return nil, 0, false, err
	}
	defer ans.Close()
	answer, err = io.ReadAll(io.LimitReader(ans, maxAnswerBytes))
	if err == nil && ans.Head.Encoded {
		err = errors.New("answer has a content encoding")
	}
	return answer, ans.Status, ans.Head.Refused, err
}
