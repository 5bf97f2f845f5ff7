// Package completions is the upstream protocol "completions": the streamed
// completions protocol that model engines commonly serve.
package completions

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
	"github.com/tmaxmax/go-sse"
)

const (
	path     = "/v1/completions"
	doneMark = "[DONE]"
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 256 << 10
)

func init() { protocol.Register("completions", New()) }

// Protocol implements citronstream.Protocol and citronstream.Orderer.
type Protocol struct {
	cl *exchange.Client
}

// New returns the protocol with its own pool of connections.
func New(opts ...exchange.Option) *Protocol { return &Protocol{cl: exchange.New(opts...)} }

// event is the payload of one server-sent event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

var errNoDone = errors.New("stream ended without " + doneMark)

// Run implements citronstream.Protocol. Each emit passes the decoded text of
// choices[0] of one event as UTF-8 bytes, without any framing; events without
// text are not emitted. The stream is complete only with its "[DONE]" event.
// Call.Path overrides /v1/completions when it is set. Cancelling ctx closes
// the request, which cancels the sequence at the engine.
func (pr *Protocol) Run(ctx context.Context, address string, ca citronstream.Call, emit func([]byte) error) (citronstream.Result, error) {
	rs := citronstream.Result{AttemptID: ca.AttemptID}
	body, finished, err := requestBody(ca)
	if err != nil {
		return rs, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "%v", err)
	}
	if finished {
		rs.Status = http.StatusOK
		return rs, nil
	}
	rq := exchange.Request{
		Method: http.MethodPost, Address: address, Path: path, Body: body, Call: ca,
		Header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
	}
	if ca.Path != "" {
		rq.Path = ca.Path
	}
	an, err := pr.cl.Send(ctx, rq)
	if err != nil {
		rs.Died = exchange.Died(err)
		return rs, err
	}
	defer an.Close()
	rs.Status = an.Status()
	if an.OK() {
		err = relay(ctx, an, &rs.Usage, emit)
	} else {
		_, err = an.Whole(ctx)
	}
	rs.Usage.Busy = an.Busy()
	rs.Died = exchange.Died(err)
	return rs, err
}

// stream is the part of an exchange.Answer that relay uses.
type stream interface {
	io.Reader
	Fault(ctx context.Context, err error) *citronstream.Fault
	Drain()
}

// relay passes the events of a stream on until its end.
func relay(ctx context.Context, an stream, us *citronstream.Usage, emit func([]byte) error) error {
	pieces := 0
	for ev, err := range sse.Read(an, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return an.Fault(ctx, err)
		}
		if ev.Data == doneMark {
			if us.TokensOut == 0 {
				us.TokensOut = pieces // an engine without usage sends one token an event
			}
			an.Drain()
			return nil
		}
		text, err := decode(ev.Data, us)
		if err != nil {
			return err
		}
		if text == "" {
			continue
		}
		pieces++
		if err := emit([]byte(text)); err != nil {
			return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "output not accepted: %v", err)
		}
	}
	return an.Fault(ctx, errors.Join(errNoDone, io.ErrUnexpectedEOF))
}

// decode returns the text of an event and notes its usage. An error event is
// an end that the engine reported, so its verdict is Ran.
func decode(data string, us *citronstream.Usage) (string, error) {
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return "", citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "malformed event: %v", err)
	}
	if len(ev.Error) > 0 && string(ev.Error) != "null" {
		return "", citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "engine reported %.200s", ev.Error)
	}
	if ev.Usage != nil {
		us.TokensIn, us.TokensOut = ev.Usage.PromptTokens, ev.Usage.CompletionTokens
	}
	if len(ev.Choices) == 0 {
		return "", nil
	}
	return ev.Choices[0].Text, nil
}
