package entry

import (
	"encoding/json"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/prefix"
)

// prefixes implements pipeline.Prefixes.
type prefixes struct{ en *Entry }

// Blocks implements pipeline.Prefixes for the prompt of a completions body.
func (pr prefixes) Blocks(service string, body []byte) []uint64 {
	se := pr.en.Routes.Snapshot().Service(service)
	if se == nil || se.Spec.Kind != citronstream.KindEngine || len(body) < prefix.BlockBytes {
		return nil
	}
	var fields struct {
		Prompt string `json:"prompt"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	return prefix.Blocks([]byte(fields.Prompt))
}

// Note implements pipeline.Prefixes.
func (pr prefixes) Note(upstream string, blocks []uint64) { pr.en.Hints.Note(upstream, blocks) }
