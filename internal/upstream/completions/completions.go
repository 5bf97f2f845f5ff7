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

// Protocol implements citronstream.Protocol and citronstream.EngineController.
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
// choices[0] of the events that have arrived, as UTF-8 bytes without any
// framing. The stream is complete only with its "[DONE]" event.
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

// relay passes the events of a stream on until its end. Texts that came
// together are emitted together.
func relay(ctx context.Context, an stream, us *citronstream.Usage, emit func([]byte) error) error {
	pieces := 0
	ba := &batch{from: an, emit: emit}
	for ev, err := range sse.Read(ba, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return ba.end(an.Fault(ctx, err))
		}
		if ev.Data == doneMark {
			if us.TokensOut == 0 {
				us.TokensOut = pieces // an engine without usage sends one token an event
			}
			if err := ba.flush(); err != nil {
				return err
			}
			an.Drain()
			return nil
		}
		text, err := decode(ev.Data, us)
		if err != nil {
			return ba.end(err)
		}
		if text == "" {
			continue
		}
		pieces++
		ba.text = append(ba.text, text...)
	}
	return ba.end(an.Fault(ctx, errors.Join(errNoDone, io.ErrUnexpectedEOF)))
}

// batch collects the texts of the events that have arrived. It emits them
// before it reads more, so that no text waits for a later one.
type batch struct {
	from io.Reader
	emit func([]byte) error
	text []byte
	err  error // of the first emit that failed
}

// Read implements io.Reader.
func (ba *batch) Read(to []byte) (int, error) {
	if err := ba.flush(); err != nil {
		return 0, err
	}
	return ba.from.Read(to)
}

func (ba *batch) flush() error {
	if ba.err != nil || len(ba.text) == 0 {
		return ba.err
	}
	text := ba.text
	ba.text = nil
	if err := ba.emit(text); err != nil {
		ba.err = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "output not accepted: %v", err)
	}
	return ba.err
}

// end emits what came before a failure, and returns the error that came first.
func (ba *batch) end(err error) error {
	if own := ba.flush(); own != nil {
		return own
	}
	return err
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
