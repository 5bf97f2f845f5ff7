package completions

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
)

// FencingTokenHeader carries the fencing token of an engine command.
const FencingTokenHeader = "Fencing-Token"

type command struct {
	Model    string   `json:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
}

type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// Order implements citronstream.EngineController. It reads the loaded models
// from GET /v1/models, unloads those that are not in Models, loads those in
// Load (or all of Models if Load is empty and Keep is not set) and sets the
// role last. An engine that refuses the token answers 412, which gives
// CodeStale with the verdict NotRun.
func (pr *Protocol) Order(ctx context.Context, address string, ord citronstream.EngineOrder) error {
	loaded, err := pr.Models(ctx, address)
	if err != nil {
		return err
	}
	for _, model := range loaded {
		if !slices.Contains(ord.Models, model) {
			if err := pr.command(ctx, address, "/v1/unload_model", command{Model: model}, ord.Token); err != nil {
				return err
			}
		}
	}
	load := ord.Load
	if len(load) == 0 && !ord.Keep {
		load = ord.Models
	}
	for _, model := range load {
		// Also for a loaded model, whose version or adapters may differ.
		cmd := command{Model: model, Adapters: ord.Adapters, Version: ord.Version}
		if err := pr.command(ctx, address, "/v1/load_model", cmd, ord.Token); err != nil {
			return err
		}
	}
	if ord.Role == "" {
		return nil
	}
	return pr.command(ctx, address, "/v1/role", command{Role: ord.Role}, ord.Token)
}

// Models returns the models that the engine at address has loaded.
func (pr *Protocol) Models(ctx context.Context, address string) ([]string, error) {
	ans, err := pr.cl.Send(ctx, exchange.Request{Method: http.MethodGet, Address: address, Path: "/v1/models"})
	if err != nil {
		return nil, err
	}
	defer ans.Close()
	body, err := ans.ReadAll(ctx)
	if err != nil {
		return nil, err
	}
	var list modelList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "malformed model list: %v", err)
	}
	names := make([]string, len(list.Data))
	for i, model := range list.Data {
		names[i] = model.ID
	}
	return names, nil
}

func (pr *Protocol) command(ctx context.Context, address, path string, cmd command, token uint64) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	ans, err := pr.cl.Send(ctx, exchange.Request{
		Method: http.MethodPost, Address: address, Path: path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, FencingTokenHeader: {strconv.FormatUint(token, 10)}},
		Last:   true, // no answer names its command, and a refusal is final
	})
	if err != nil {
		return err
	}
	defer ans.Close()
	_, err = ans.ReadAll(ctx)
	if err != nil && ans.Status() == http.StatusPreconditionFailed {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "engine refused token %d at %s", token, path)
	}
	return err
}
