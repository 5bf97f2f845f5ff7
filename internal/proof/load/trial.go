package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// trial is one logical request: what its caller sent, once or several times,
// and what came back.
type trial struct {
	class
	body     []byte
	key      string
	sends    int
	twice    bool
	again    time.Duration // sent again this long after its answer; 0 is never
	stubborn bool          // sends again whatever the answer
	entry    int
	began    time.Time

	mu      sync.Mutex
	answers []answer
}

func (lo *Load) newTrial(cl class) *trial {
	lo.rndMu.Lock()
	defer lo.rndMu.Unlock()
	tr := &trial{class: cl, sends: 1, entry: lo.rnd.IntN(len(lo.ca.Fleet.Entries)), began: lo.clk.Now()}
	number := lo.rnd.Uint64()
	if cl.pipeline != "" {
		tr.body = fmt.Appendf(nil, `{"prompt":"request %x asks for the spec of item %d","max_tokens":%d,"stream":true}`, number, number%1000, maxTokens)
		return tr
	}
	tr.body = fmt.Appendf(nil, `{"Item":%d,"Number":"%x"}`, number%1000, number)
	if cl.once {
		if lo.rnd.Float64() < keylessShare {
			return tr
		}
		tr.sends = maxSends
		tr.twice = lo.rnd.Float64() < twiceShare
		tr.key = newKey(lo.rnd)
		if lo.rnd.Float64() < againShare {
			tr.again = time.Duration(lo.rnd.Int64N(int64(againWithin)))
		}
	}
	return tr
}

func newKey(rnd *rand.Rand) string {
	if rnd.Float64() < opaqueShare {
		return fmt.Sprintf("order-%016x", rnd.Uint64())
	}
	return uuid.Must(uuid.NewV7()).String()
}

// answered says whether the caller has a whole answer.
func (tr *trial) answered() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.ContainsFunc(tr.answers, func(an answer) bool { return an.outcome == completed })
}

// run sends the request, and again while the caller has no answer that ends
// its wish.
func (lo *Load) run(ctx context.Context, tr *trial) {
	if tr.twice {
		var other sync.WaitGroup
		other.Go(func() { lo.send(ctx, tr, tr.entry+1) })
		defer other.Wait()
	}
	for try := range tr.sends {
		an := lo.send(ctx, tr, tr.entry+try)
		if an.final() && !tr.stubborn {
			lo.sendAgain(ctx, tr)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-lo.clk.After(resendAfter * time.Duration(try+1)):
		}
	}
}

// sendAgain sends an answered request once more through another entry.
func (lo *Load) sendAgain(ctx context.Context, tr *trial) {
	if tr.again == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-lo.clk.After(tr.again):
		lo.send(ctx, tr, tr.entry+1)
	}
}

// send sends the request once. An entry that can't be reached is skipped, as
// the platform's balancer would do.
func (lo *Load) send(ctx context.Context, tr *trial, entry int) answer {
	entries := lo.ca.Fleet.Entries
	var an answer
	for i := range entries {
		address := entries[(entry+i)%len(entries)].Address
		an = lo.exchange(ctx, tr, address)
		if an.outcome != unreachable {
			break
		}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers = append(tr.answers, an)
	return an
}

func (lo *Load) exchange(ctx context.Context, tr *trial, address string) answer {
	deadline := lo.ca.Deadline(tr.rank)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer lo.clk.AfterFunc(deadline+answerGrace, cancel).Stop()
	path := "/v1/pipelines/" + tr.pipeline
	if tr.pipeline == "" {
		path = "/v1/services/" + tr.service + "/" + tr.call
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(tr.body))
	if err != nil {
		return answer{outcome: unreachable}
	}
	// net/http would send a request with an Idempotency-Key again by itself.
	rq.GetBody = nil
	rq.Header.Set("X-Workspace", tr.ws.Name)
	rq.Header.Set("X-Rank", lo.ca.Fleet.Ranks[tr.rank].Name)
	if tr.key != "" {
		rq.Header.Set("Idempotency-Key", tr.key)
	}
	an := answer{sent: lo.clk.Now(), address: address}
	re, err := lo.client.Do(rq.WithContext(withConn(ctx, &an)))
	if err != nil {
		an.ended = lo.clk.Now()
		an.broken(lo, err)
		return an
	}
	defer func() { _ = re.Body.Close() }()
	body, err := io.ReadAll(re.Body)
	an.ended = lo.clk.Now()
	an.read(lo, re, body, err)
	return an
}
