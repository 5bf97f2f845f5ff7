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
	ans, err := on.cl.Do(ctx, request(&ca), func(ctx context.Context) (claim.Answer, error) {
		body, re := run(ctx)
		own = re
		if re.Fault != nil {
			return claim.Answer{Status: re.Status, Body: body}, re.Fault
		}
		return claim.Answer{Status: re.Status, Body: body}, nil
	})
	re := result(ans, err)
	if !ans.Replayed {
		re.Usage, re.Died = own.Usage, own.Died
	}
	return ans.Body, re
}

// Recall implements server.Once.
func (on once) Recall(ca *citronstream.Call) ([]byte, citronstream.Result, bool) {
	ans, err, ok := on.cl.CachedAnswer(request(ca))
	return ans.Body, result(ans, err), ok
}

// Verdict implements server.Once.
func (on once) Verdict(ctx context.Context, ca *citronstream.Call) citronstream.Verdict {
	return on.cl.Verdict(ctx, request(ca))
}

func request(ca *citronstream.Call) claim.Request {
	return claim.Request{Workspace: ca.Workspace, Key: ca.Key, KeyGiven: ca.KeyGiven, Digest: ca.Digest, Sent: ca.SentAt}
}

func result(ans claim.Answer, err error) citronstream.Result {
	return citronstream.Result{Status: ans.Status, Replayed: ans.Replayed, Unflushed: ans.Unflushed, Fault: citronstream.FaultOf(err)}
}
