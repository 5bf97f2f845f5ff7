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

// TokenHeader carries the fencing token of an engine command.
const TokenHeader = "Fencing-Token"

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

// Order implements citronstream.EngineController. It reads the loaded models from GET
// /v1/models, unloads those that are not wanted, loads the others (of Load, if
// it names any) and sets the role last. An engine that refuses the token answers 412, which gives
// CodeStale with the verdict NotRun.
func (pr *Protocol) Order(ctx context.Context, address string, or citronstream.EngineOrder) error {
	loaded, err := pr.Models(ctx, address)
	if err != nil {
		return err
	}
	for _, model := range loaded {
		if !slices.Contains(or.Models, model) {
			if err := pr.command(ctx, address, "/v1/unload_model", command{Model: model}, or.Token); err != nil {
				return err
			}
		}
	}
	load := or.Load
	if len(load) == 0 && !or.Keep {
		load = or.Models
	}
	for _, model := range load {
		// A model that is loaded is named again too: its version or adapters may differ.
		cmd := command{Model: model, Adapters: or.Adapters, Version: or.Version}
		if err := pr.command(ctx, address, "/v1/load_model", cmd, or.Token); err != nil {
			return err
		}
	}
	if or.Role == "" {
		return nil
	}
	return pr.command(ctx, address, "/v1/role", command{Role: or.Role}, or.Token)
}

// Models returns the models that the engine at address has loaded.
func (pr *Protocol) Models(ctx context.Context, address string) ([]string, error) {
	an, err := pr.cl.Send(ctx, exchange.Request{Method: http.MethodGet, Address: address, Path: "/v1/models"})
	if err != nil {
		return nil, err
	}
	defer an.Close()
	body, err := an.Whole(ctx)
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
	an, err := pr.cl.Send(ctx, exchange.Request{
		Method: http.MethodPost, Address: address, Path: path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, TokenHeader: {strconv.FormatUint(token, 10)}},
	})
	if err != nil {
		return err
	}
	defer an.Close()
	_, err = an.Whole(ctx)
	if err != nil && an.Status() == http.StatusPreconditionFailed {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "engine refused token %d at %s", token, path)
	}
	return err
}
