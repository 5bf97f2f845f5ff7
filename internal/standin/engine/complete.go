package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
)

const (
	defaultMaxTokens = 16
	maxTokens        = 4096
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionEvent struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// complete serves POST /v1/completions. The response is always streamed.
func (se *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off
	}
	rq := completionRequest{}
	if err := json.Unmarshal(body, &rq); err != nil {
		replyError(w, http.StatusBadRequest, "malformed request: "+err.Error())
		return
	}
	limit := defaultMaxTokens
	if rq.MaxTokens != nil {
		limit = *rq.MaxTokens
	}
	switch {
	case !rq.Stream:
		replyError(w, http.StatusBadRequest, "stream must be true")
		return
	case limit < 1 || limit > maxTokens:
		replyError(w, http.StatusBadRequest, "max_tokens must be 1 to "+strconv.Itoa(maxTokens))
		return
	case !se.serves(rq.Model):
		replyError(w, http.StatusNotFound, "model "+strconv.Quote(rq.Model)+" is not loaded")
		return
	}
	ex := host.Execution(r, se.name, body)
	if se.Failing() {
		se.log.End(se.log.Begin(ex), 0, record.Failed)
		replyError(w, http.StatusInternalServerError, "injected failure")
		return
	}
	sq := &sequence{
		ctx: r.Context(), prompt: rq.Prompt, priority: rq.Priority, maxTokens: limit,
		poison: host.Poison([]byte(rq.Prompt)), execution: ex, tokens: make(chan string, limit),
	}
	if !se.enqueue(sq) {
		w.Header().Set("Retry-After", "1")
		replyError(w, http.StatusServiceUnavailable, "queue is full")
		return
	}
	se.stream(w, sq, rq.Model)
}

// stream writes the tokens of a sequence as they are generated.
func (se *Server) stream(w http.ResponseWriter, sq *sequence, model string) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	ev := completionEvent{ID: sq.execution.AttemptID, Object: "text_completion", Model: model, Choices: make([]choice, 1)}
	var output strings.Builder
	made := 0
	for {
		select {
		case token, ok := <-sq.tokens:
			if !ok {
				se.finish(w, sq, ev, output.String(), made)
				return
			}
			made++
			output.WriteString(token)
			ev.Choices[0].Text = token
			writeEvent(w, ev)
			if len(sq.tokens) == 0 {
				_ = rc.Flush() // a failed write ends the request's context
			}
		case <-sq.ctx.Done():
			se.recordEnd(sq)
			return
		}
	}
}

// finish records a completed sequence and writes its usage and the [DONE] event.
func (se *Server) finish(w http.ResponseWriter, sq *sequence, ev completionEvent, output string, made int) {
	se.prefixCache.add(Blocks(sq.prompt + output))
	se.mu.Lock()
	id := sq.id
	se.mu.Unlock()
	se.log.End(id, citronstream.Digest([]byte(output)), record.Done)
	reason := "length"
	ev.Choices[0].Text, ev.Choices[0].FinishReason = "", &reason
	prompt := (len(sq.prompt) + bytesPerToken - 1) / bytesPerToken
	ev.Usage = &usage{PromptTokens: prompt, CompletionTokens: made, TotalTokens: prompt + made}
	writeEvent(w, ev)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeEvent(w io.Writer, ev completionEvent) {
	data, _ := json.Marshal(ev)
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	_, _ = w.Write(append(line, '\n', '\n'))
}

func replyError(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]map[string]string{"error": {"message": text}})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
