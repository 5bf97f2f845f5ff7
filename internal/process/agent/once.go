package agent

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

// once lets the server run keyed calls through the claims.
type once struct{ cl *claim.Claim }

// Do implements server.Once.
func (on once) Do(ctx context.Context, ca citronstream.Call, run func(ctx context.Context) ([]byte, citronstream.Result)) ([]byte, citronstream.Result) {
	var own citronstream.Result
	rq := claim.Request{Workspace: ca.Workspace, Key: ca.Key, KeyGiven: ca.KeyGiven, Digest: ca.Digest}
	ans, err := on.cl.Do(ctx, rq, func(ctx context.Context) (claim.Answer, error) {
		body, re := run(ctx)
		own = re
		if re.Fault != nil {
			return claim.Answer{Status: re.Status, Body: body}, re.Fault
		}
		return claim.Answer{Status: re.Status, Body: body}, nil
	})
	re := citronstream.Result{Status: ans.Status, Replayed: ans.Replayed, Unflushed: ans.Unflushed, Died: own.Died, Fault: citronstream.FaultOf(err)}
	if !ans.Replayed {
		re.Usage = own.Usage
	}
	return ans.Body, re
}
