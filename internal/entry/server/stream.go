package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const objectName = "text_completion"

// completion is an answer, or a part of a streamed one, in the completions format
// of common model servers.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(us citronstream.Usage) *usage {
	return &usage{PromptTokens: us.TokensIn, CompletionTokens: us.TokensOut, TotalTokens: us.TokensIn + us.TokensOut}
}

// stream runs a pipeline and sends the last stage's answer as server-sent events.
// A request whose caller reads too slowly is cancelled.
func (se *Server) stream(ctx context.Context, wr http.ResponseWriter, memory *callermemory.Holder, re *request, name string, bu *stagebody.Builder) pipeline.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	parts := make(chan []byte, unsentChunks)
	ended := make(chan pipeline.Outcome, 1)
	var missed, unfit atomic.Bool // a part did not fit, so that none may follow; there was no memory for it
	go func() {
		out := se.runner.Pipeline(ctx, re.ca, name, re.Request, bu, func(part []byte) {
			if missed.Load() {
				return
			}
			if memory.Take(len(part), callermemory.Answer) {
				select {
				case parts <- part:
					return
				default:
				}
			} else {
				se.hits.Hit(LimitAnswerMemory)
				unfit.Store(true)
			}
			missed.Store(true)
			se.counts.SlowReaders.Add(1)
			cancel()
		})
		switch {
		case unfit.Load(): // 503, the status of a canceled request, would say that it has not run
			verdict := citronstream.Ran
			if out.Fault != nil {
				verdict = out.Fault.Verdict
			}
			out.Fault = noAnswerMemory(verdict)
		case missed.Load() && out.Fault == nil:
			out.Fault = citronstream.NewFault(citronstream.Ran, citronstream.CodeCanceled, "the caller reads too slowly")
		}
		ended <- out
	}()
	sw := &eventWriter{wr: wr, id: re.ID, memory: memory, failed: cancel}
	for {
		select {
		case part := <-parts:
			sw.writeParts(part, parts)
		case out := <-ended:
			sw.drain(parts)
			sw.finish(out)
			return out
		}
	}
}

// eventWriter writes server-sent events. The status is sent with the first event.
type eventWriter struct {
	wr      http.ResponseWriter
	id      string
	started bool
	buf     []byte
	memory  *callermemory.Holder // has the parts that were not written yet
	unsent  int                  // bytes of parts in buf
	failed  func()               // is called when a write fails
}

func (ew *eventWriter) begin() {
	if ew.started {
		return
	}
	ew.started = true
	ew.wr.Header().Set("Content-Type", "text/event-stream")
	ew.wr.Header().Set("Cache-Control", "no-store")
	ew.wr.WriteHeader(http.StatusOK)
}

// writeParts writes a part and all further parts that are waiting, and flushes
// once.
func (ew *eventWriter) writeParts(part []byte, more <-chan []byte) {
	ew.begin()
	ew.addPart(part)
	for range len(more) {
		ew.addPart(<-more)
	}
	ew.flush()
}

func (ew *eventWriter) drain(more <-chan []byte) {
	if len(more) > 0 {
		ew.writeParts(<-more, more)
	}
}

func (ew *eventWriter) addPart(part []byte) {
	ew.unsent += len(part)
	ew.event("", completion{ID: ew.id, Object: objectName, Choices: []choice{{Text: string(part)}}})
}

func (ew *eventWriter) event(name string, value any) {
	data, _ := json.Marshal(value) // plain fields always marshal
	if name != "" {
		ew.buf = append(append(append(ew.buf, "event: "...), name...), '\n')
	}
	ew.buf = append(append(append(ew.buf, "data: "...), data...), "\n\n"...)
}

func (ew *eventWriter) flush() {
	_, err := ew.wr.Write(ew.buf)
	ew.buf = ew.buf[:0]
	if err == nil {
		err = http.NewResponseController(ew.wr).Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		ew.failed()
	}
	ew.memory.Give(ew.unsent)
	ew.unsent = 0
}

// finish writes the last events. A request that failed before its first part is
// answered with a problem document; one that failed later with an error event, and
// without the final [DONE] event.
func (ew *eventWriter) finish(out pipeline.Outcome) {
	if out.Fault != nil && !ew.started {
		problem(ew.wr, ew.id, out.Fault)
		return
	}
	if out.Fault == nil && !ew.started && len(out.Body) > 0 {
		ew.memory.Force(len(out.Body))
		ew.addPart(out.Body) // the last stage does not stream
	}
	ew.begin()
	if out.Fault != nil {
		ew.event("error", describe(ew.id, out.Fault))
		ew.flush()
		return
	}
	ew.event("", completion{ID: ew.id, Object: objectName, Choices: []choice{{Finish: "stop"}}, Usage: usageOf(out.Usage)})
	ew.buf = append(ew.buf, "data: [DONE]\n\n"...)
	ew.flush()
}
