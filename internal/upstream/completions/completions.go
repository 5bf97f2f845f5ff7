// Package completions implements the upstream protocol "completions", the
// streamed completions API that model engines commonly serve.
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
	defaultPath = "/v1/completions"
	doneData    = "[DONE]"
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

var errNoDone = errors.New("stream ended without " + doneData)

// Run implements citronstream.Protocol. Each emit gets the decoded text of
// choices[0] of the events that have arrived, as UTF-8 bytes without framing.
// A stream without a final "[DONE]" event is incomplete. Call.Path overrides
// /v1/completions when it is set. Cancelling ctx closes the connection, which
// makes the engine cancel the sequence.
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
		Method: http.MethodPost, Address: address, Path: defaultPath, Body: body, Call: ca,
		Header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
	}
	if ca.Path != "" {
		rq.Path = ca.Path
	}
	ans, err := pr.cl.Send(ctx, rq)
	if err != nil {
		rs.Died = exchange.Died(err)
		return rs, err
	}
	defer ans.Close()
	rs.Status = ans.Status()
	if ans.OK() {
		err = relay(ctx, ans, &rs.Usage, emit)
	} else {
		_, err = ans.ReadAll(ctx)
	}
	rs.Usage.Busy = ans.Busy()
	rs.Died = exchange.Died(err)
	return rs, err
}

// stream is the part of an exchange.Answer that relay uses.
type stream interface {
	io.Reader
	Fault(ctx context.Context, err error) *citronstream.Fault
	Drain()
}

// relay emits the texts of a stream's events until its end. Texts that arrive
// in one read are emitted together.
func relay(ctx context.Context, ans stream, usage *citronstream.Usage, emit func([]byte) error) error {
	texts := 0
	tb := &textBuffer{src: ans, emit: emit}
	for ev, err := range sse.Read(tb, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return tb.finish(ans.Fault(ctx, err))
		}
		if ev.Data == doneData {
			if usage.TokensOut == 0 {
				usage.TokensOut = texts // an engine that reports no usage sends one token per event
			}
			if err := tb.flush(); err != nil {
				return err
			}
			ans.Drain()
			return nil
		}
		text, err := decodeEvent(ev.Data, usage)
		if err != nil {
			return tb.finish(err)
		}
		if text == "" {
			continue
		}
		texts++
		tb.text = append(tb.text, text...)
	}
	return tb.finish(ans.Fault(ctx, errors.Join(errNoDone, io.ErrUnexpectedEOF)))
}

// textBuffer collects the texts of the events that have arrived. It emits them
// before the next read, so that no text waits for a later one.
type textBuffer struct {
	src  io.Reader
	emit func([]byte) error
	text []byte
	err  error // of the first emit that failed
}

// Read implements io.Reader.
func (tb *textBuffer) Read(data []byte) (int, error) {
	if err := tb.flush(); err != nil {
		return 0, err
	}
	return tb.src.Read(data)
}

func (tb *textBuffer) flush() error {
	if tb.err != nil || len(tb.text) == 0 {
		return tb.err
	}
	text := tb.text
	tb.text = nil
	if err := tb.emit(text); err != nil {
		tb.err = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "emit output: %v", err)
	}
	return tb.err
}

// finish emits the text that arrived before err. It returns the error of emit,
// if that failed, and err otherwise.
func (tb *textBuffer) finish(err error) error {
	if emitErr := tb.flush(); emitErr != nil {
		return emitErr
	}
	return err
}

// decodeEvent returns the text of an event and stores its usage. The verdict of
// an error event is Ran, because the engine itself reports the end.
func decodeEvent(data string, usage *citronstream.Usage) (string, error) {
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return "", citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "malformed event: %v", err)
	}
	if len(ev.Error) > 0 && string(ev.Error) != "null" {
		return "", citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "engine reported %.200s", ev.Error)
	}
	if ev.Usage != nil {
		usage.TokensIn, usage.TokensOut = ev.Usage.PromptTokens, ev.Usage.CompletionTokens
	}
	if len(ev.Choices) == 0 {
		return "", nil
	}
	return ev.Choices[0].Text, nil
}
