package agent

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

// onceAdapter runs the server's keyed calls through the claims.
type onceAdapter struct{ cl *claim.Claim }

// Do implements server.Once.
func (oa onceAdapter) Do(ctx context.Context, ca citronstream.Call, run func(ctx context.Context) ([]byte, citronstream.Result)) ([]byte, citronstream.Result) {
	var own citronstream.Result
	ans, err := oa.cl.Do(ctx, claimRequest(&ca), func(ctx context.Context) (claim.Answer, error) {
		body, re := run(ctx)
		own = re
		if re.Fault != nil {
			return claim.Answer{Status: re.Status, Body: body}, re.Fault
		}
		return claim.Answer{Status: re.Status, Body: body}, nil
	})
	re := callResult(ans, err)
	if !ans.Replayed {
		re.Usage, re.Died = own.Usage, own.Died
	}
	return ans.Body, re
}

// Recall implements server.Once.
func (oa onceAdapter) Recall(ca *citronstream.Call) ([]byte, citronstream.Result, bool) {
	ans, err, ok := oa.cl.CachedAnswer(claimRequest(ca))
	return ans.Body, callResult(ans, err), ok
}

// Verdict implements server.Once.
func (oa onceAdapter) Verdict(ctx context.Context, ca *citronstream.Call) citronstream.Verdict {
	return oa.cl.Verdict(ctx, claimRequest(ca))
}

func claimRequest(ca *citronstream.Call) claim.Request {
	return claim.Request{Workspace: ca.Workspace, Key: ca.Key, KeyGiven: ca.KeyGiven, Digest: ca.Digest, Sent: ca.SentAt}
}

func callResult(ans claim.Answer, err error) citronstream.Result {
	return citronstream.Result{Status: ans.Status, Replayed: ans.Replayed, Unflushed: ans.Unflushed, Fault: citronstream.FaultOf(err)}
}
