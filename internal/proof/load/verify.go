package load

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/pool"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
)

// Violation is a broken promise, found by comparing an answer with the records.
type Violation struct {
	Kind      string `json:"Kind"` // Lost, Doubled, Crossed or FalseNotRun
	RequestID string `json:"RequestID,omitempty"`
	Key       string `json:"Key,omitempty"`
	Detail    string `json:"Detail"`
}

// verify compares one logical request with the records.
func (lo *Load) verify(tr *trial) []Violation {
	var found []Violation
	add := func(kind string, an *answer, format string, args ...any) {
		found = append(found, Violation{Kind: kind, RequestID: an.requestID, Key: tr.key, Detail: fmt.Sprintf(format, args...)})
	}
	var first *answer
	for i := range tr.answers {
		an := &tr.answers[i]
		switch an.outcome {
		case lost:
			add("Lost", an, "%s %s%s: %s", tr.pipeline, tr.service, tr.call, an.detail)
		case completed:
			if text := lo.own(tr, an); text != "" {
				add("Crossed", an, "%s", text)
			}
			if first == nil {
				first = an
			} else if tr.key != "" && !bytes.Equal(first.body, an.body) {
				add("Crossed", an, "two answers to one key: %.80s, %.80s", first.body, an.body)
			}
		case notRun:
			if ex := lo.ranBefore(tr, an); ex != nil {
				add("FalseNotRun", an, "%s (%s), but %s ran it from %s to %s", an.code, an.detail, ex.Upstream, ex.StartedAt, ex.EndedAt)
			}
		}
	}
	if tr.once {
		if all := lo.executions(tr); len(all) > 1 {
			add("Doubled", &tr.answers[0], "%d executions, first at %s, second at %s", len(all), all[0].Upstream, all[1].Upstream)
		} else if first != nil && len(all) == 0 {
			add("Lost", first, "answered, but no upstream ran it")
		}
	}
	return found
}

// executions returns those of an order. Without a key of the caller its
// request names them; it is sent once.
func (lo *Load) executions(tr *trial) []record.Execution {
	if tr.key != "" {
		return lo.log.ByKey(tr.key)
	}
	if id := tr.answers[0].requestID; id != "" {
		return lo.log.ByRequest(id)
	}
	return nil
}

// own says why a whole answer is not that of its own request, or "".
func (lo *Load) own(tr *trial, an *answer) string {
	if tr.pipeline == "" {
		var got service.Answer
		if err := json.Unmarshal(an.body, &got); err != nil {
			return fmt.Sprintf("unreadable answer %.80s", an.body)
		}
		if got.Input != service.InputDigest(tr.body) {
			return "answer to another request"
		}
		return ""
	}
	want, err := lo.expect(tr)
	if err != nil {
		return err.Error()
	}
	if an.text != want {
		return fmt.Sprintf("got %.60q, want %.60q", an.text, want)
	}
	return ""
}

// expect computes the answer that a pipeline must give.
func (lo *Load) expect(tr *trial) (string, error) {
	pi, after := lo.ca.Pipeline(tr.pipeline)
	bu, err := stagebody.New(tr.body)
	if err != nil {
		return "", err
	}
	results := make([][]byte, len(pi.Stages))
	for i, st := range pi.Stages {
		var earlier []stagebody.Result
		for _, from := range after[i] {
			earlier = append(earlier, stagebody.Result{Stage: pi.Stages[from].Name, Body: results[from]})
		}
		kind := lo.ca.Service(st.Service).Kind
		body, err := bu.Build(kind, st.Model, earlier)
		if err != nil {
			return "", err
		}
		results[i] = output(kind, body)
	}
	return string(results[len(results)-1]), nil
}

func output(kind string, body []byte) []byte {
	if kind != citronstream.KindEngine {
		return pool.Answer(kind, body)
	}
	var in struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &in) // stagebody made it
	return []byte(engine.Generate(in.Prompt, in.MaxTokens))
}

// ranBefore finds an execution that a refusal with NotRun denies. For a call
// with a key the verdict speaks of the key.
func (lo *Load) ranBefore(tr *trial, an *answer) *record.Execution {
	var all []record.Execution
	if tr.key != "" {
		all = lo.log.ByKey(tr.key)
	} else if an.requestID != "" {
		all = lo.log.ByRequest(an.requestID)
	}
	for i := range all {
		if all[i].StartedAt.Before(an.ended) && all[i].Outcome != record.Failed {
			return &all[i]
		}
	}
	return nil
}
