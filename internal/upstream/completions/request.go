package completions

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/citronstream/citronstream"
)

// requestBody returns the call's body with the fields that this protocol
// sets: stream, stream_options, priority, model and, for a resume, the longer
// prompt and the remaining max_tokens. The bool reports that the output to
// resume is already complete.
//
// Call.Rank is sent as priority: engines also serve lower values first.
func requestBody(ca citronstream.Call) ([]byte, bool, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(ca.Body, &fields); err != nil {
		return nil, false, errors.New("body of the completions call is not a JSON object")
	}
	var prompt string
	if err := json.Unmarshal(fields["prompt"], &prompt); err != nil {
		return nil, false, errors.New("prompt of the completions call is not a string")
	}
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value) // strings, ints and bools always marshal
	}
	set("prompt", prompt+ca.Prefix)
	set("stream", true)
	set("stream_options", map[string]bool{"include_usage": true})
	set("priority", ca.Rank)
	if ca.Model != "" {
		set("model", ca.Model)
	}
	if limit, ok := fields["max_tokens"]; ok && ca.Prefix != "" {
		var tokens int
		if err := json.Unmarshal(limit, &tokens); err != nil {
			return nil, false, fmt.Errorf("max_tokens is not an integer: %s", limit)
		}
		tokens -= prefixTokens(ca)
		if tokens <= 0 {
			return nil, true, nil
		}
		set("max_tokens", tokens)
	}
	body, err := json.Marshal(fields)
	return body, false, err
}

// prefixTokens estimates the number of tokens in the output so far by its number
// of words. A tokenizer yields at least as many tokens, so a resumed answer is
// never truncated.
func prefixTokens(ca citronstream.Call) int { return len(strings.Fields(ca.Prefix)) }
