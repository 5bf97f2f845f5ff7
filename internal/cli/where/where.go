// Package where is the command `citronstream where`.
package where

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// maxAnswerBytes bounds the answer of a gateway. With 160 engines and 100 peers it has
// about 3 MB.
const maxAnswerBytes = 16 << 20

// Command asks a gateway where a request or a job would go now. Nothing is sent to an
// upstream.
type Command struct {
	Gateway   string        `arg:"" help:"Metrics address of a gateway, as HOST:PORT."`
	Host      string        `help:"Host of the request." group:"Request"`
	Path      string        `help:"Path of the request." group:"Request"`
	Key       string        `help:"API key of the caller." group:"Request" xor:"holder"`
	Workspace string        `help:"Workspace of the caller, in place of its key." group:"Request" xor:"holder"`
	Service   string        `help:"Service, if the route splits its requests; the default has the greatest weight." group:"Request"`
	Tokens    int           `help:"Tokens of the prompt; the default is the sum of its parts." group:"Request"`
	Part      []string      `help:"Part of the prompt, as NAME:TOKENS, in order. The last one is not shared." group:"Request" sep:"none"`
	Pieces    []int         `help:"Number of results of each stage; the default is 1." group:"Request"`
	Left      time.Duration `help:"Time to the caller's deadline; the default is that of the route." group:"Request"`
	Job       string        `help:"Service of a job, in place of a request." group:"Job"`
	Rank      int           `help:"Rank of the job's route." group:"Job"`
	Slack     time.Duration `help:"Time within which the job must start." group:"Job"`
	Admitted  bool          `help:"The job's request was admitted." group:"Job"`
	Region    []string      `help:"Region to which the job's request is restricted; may be repeated." group:"Job"`
	Query     string        `help:"File with the query in JSON, in place of the other flags; - is standard input."`
	Timeout   time.Duration `help:"Longest wait for the gateway." default:"5s"`
	JSON      bool          `name:"json" help:"Print the answer in JSON."`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer) error {
	body, err := co.body()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, co.Timeout)
	defer cancel()
	wh, raw, err := co.ask(ctx, body)
	if err != nil {
		return err
	}
	if co.JSON {
		_, err := out.Write(raw)
		return err
	}
	return write(out, wh)
}

// body returns the query in JSON.
func (co *Command) body() ([]byte, error) {
	switch {
	case co.Query == "-":
		return io.ReadAll(os.Stdin)
	case co.Query != "":
		return os.ReadFile(co.Query)
	case co.Job != "":
		return json.Marshal(citronstream.WhereQuery{Job: &citronstream.WhereJob{
			Service: co.Job, Rank: co.Rank, SlackMs: citronstream.Milliseconds(co.Slack), Admitted: co.Admitted, Regions: co.Region,
		}})
	case co.Path == "":
		return nil, errors.New("--path, --job or --query is required")
	}
	qu := citronstream.WhereQuery{
		Host: co.Host, Path: co.Path, Key: co.Key, Workspace: co.Workspace, Service: co.Service, Tokens: co.Tokens, Pieces: co.Pieces,
		LeftMs: citronstream.Milliseconds(co.Left),
	}
	for _, text := range co.Part {
		name, tokens, found := strings.Cut(text, ":")
		count, err := strconv.Atoi(tokens)
		if !found || name == "" || err != nil || count < 0 {
			return nil, fmt.Errorf("--part=%s: not NAME:TOKENS", text)
		}
		qu.Prompt = append(qu.Prompt, citronstream.WherePart{Name: name, Tokens: count})
	}
	return json.Marshal(qu)
}

// ask sends the query to the gateway.
func (co *Command) ask(ctx context.Context, body []byte) (*citronstream.Where, []byte, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+co.Gateway+"/where", bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	rq.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("gateway %s: %w", co.Gateway, err)
	}
	if res.StatusCode != http.StatusOK {
		var failure struct{ Error string }
		if json.Unmarshal(raw, &failure) != nil || failure.Error == "" {
			failure.Error = "no answer to a query"
		}
		return nil, nil, fmt.Errorf("gateway %s: %s (status %d)", co.Gateway, failure.Error, res.StatusCode)
	}
	var wh citronstream.Where
	if err := json.Unmarshal(raw, &wh); err != nil {
		return nil, nil, fmt.Errorf("gateway %s: answer malformed: %w", co.Gateway, err)
	}
	return &wh, raw, nil
}
