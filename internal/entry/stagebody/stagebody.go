// Package stagebody builds the request body of a pipeline stage from the
// caller's request and the results of earlier stages.
package stagebody

import (
	"encoding/json"
	"strings"

	"github.com/citronstream/citronstream"
)

// Result is the answer of an earlier stage.
type Result struct {
	Stage string
	Body  []byte
}

// Builder holds the caller's request, decoded once for all stages.
type Builder struct {
	fields map[string]json.RawMessage
	prompt string
}

// New decodes the caller's request: a JSON object in the format of a completions
// request, with a prompt.
func New(body []byte) (*Builder, error) {
	bu := &Builder{fields: map[string]json.RawMessage{}}
	if err := json.Unmarshal(body, &bu.fields); err != nil {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "the body is not a JSON object: %v", err)
	}
	if err := json.Unmarshal(bu.fields["prompt"], &bu.prompt); err != nil {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "prompt: must be a string")
	}
	return bu, nil
}

// Prompt returns the caller's prompt.
func (bu *Builder) Prompt() string { return bu.prompt }

// Stream reports whether the caller asked for a streamed answer.
func (bu *Builder) Stream() bool { return string(bu.fields["stream"]) == "true" }

// defaultMaxTokens is the common limit of engines for a request without one.
const defaultMaxTokens = 16

// MaxTokens returns the caller's limit on the tokens of the answer.
func (bu *Builder) MaxTokens() int {
	limit := defaultMaxTokens
	if err := json.Unmarshal(bu.fields["max_tokens"], &limit); err != nil || limit < 0 {
		return defaultMaxTokens
	}
	return limit
}

// poolInput is the request body of encoders, retrievers and rerankers.
type poolInput struct {
	Model    string                     `json:"model,omitempty"`
	Input    string                     `json:"input"`
	Previous map[string]json.RawMessage `json:"previous,omitempty"`
}

// Build returns the body for a stage of the given service kind.
func (bu *Builder) Build(kind, model string, earlier []Result) ([]byte, error) {
	if kind == citronstream.KindEngine {
		return bu.completion(earlier)
	}
	in := poolInput{Model: model, Input: bu.prompt}
	for _, re := range earlier {
		if in.Previous == nil {
			in.Previous = make(map[string]json.RawMessage, len(earlier))
		}
		in.Previous[re.Stage] = asJSON(re.Body)
	}
	return json.Marshal(in)
}

// completion puts the results of earlier stages before the prompt, so that requests
// with the same context share a prefix.
func (bu *Builder) completion(earlier []Result) ([]byte, error) {
	var prompt strings.Builder
	for _, re := range earlier {
		prompt.Write(re.Body)
		prompt.WriteString("\n\n")
	}
	prompt.WriteString(bu.prompt)
	fields := make(map[string]json.RawMessage, len(bu.fields))
	for key, value := range bu.fields {
		fields[key] = value
	}
	text, err := json.Marshal(prompt.String())
	if err != nil {
		return nil, err
	}
	fields["prompt"] = text
	return json.Marshal(fields)
}

func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body)) // a string always marshals
	return text
}
