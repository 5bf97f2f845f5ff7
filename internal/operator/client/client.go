// Package client sends requests to the operators' HTTP API of a fleet's entries.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/answerfirst"
	"github.com/citronstream/citronstream/internal/kernel/httphead"
	"golang.org/x/sync/errgroup"
)

const (
	// maxAnswerBytes equals the server's limit on unsent bytes.
	maxAnswerBytes = 64 << 20
	// maxParallel is how many entries are queried at the same time.
	maxParallel = 16
	// defaultTimeout exceeds the time that an entry waits for its agents.
	defaultTimeout = 10 * time.Second
)

// Client queries the entries of a fleet.
type Client struct {
	entries []citronstream.Entry
	token   string
	scheme  string
	timeout time.Duration
	http    *http.Client
}

// Option changes a Client.
type Option func(*Client)

// WithToken sets the operator's token.
func WithToken(token string) Option { return func(cl *Client) { cl.token = token } }

// WithTimeout bounds each request.
func WithTimeout(timeout time.Duration) Option { return func(cl *Client) { cl.timeout = timeout } }

// WithTLS uses HTTPS.
func WithTLS(config *tls.Config) Option {
	return func(cl *Client) {
		cl.scheme = "https"
		cl.http.Transport = newTransport(config)
	}
}

// New returns a client for the entries of a fleet.
func New(fl *citronstream.Fleet, opts ...Option) *Client {
	cl := &Client{entries: fl.Entries, scheme: "http", timeout: defaultTimeout, http: &http.Client{Transport: newTransport(nil)}}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

func newTransport(config *tls.Config) http.RoundTripper {
	return httphead.New(answerfirst.Use(&http.Transport{DialContext: new(net.Dialer).DialContext, TLSClientConfig: config}))
}

// Answer is the result of a request to one entry.
type Answer struct {
	Entry string
	Body  []byte
	Err   error
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	Status int
	Detail string
	Body   []byte
}

// Error implements error.
func (se *StatusError) Error() string {
	if se.Detail != "" {
		return se.Detail
	}
	return http.StatusText(se.Status)
}

// Each sends a request to all entries and calls progress after each answer.
// Answers are in the order of the fleet.
func (cl *Client) Each(ctx context.Context, method, path string, body any, progress func(done, all int)) []Answer {
	answers := make([]Answer, len(cl.entries))
	var mu sync.Mutex
	done := 0
	var eg errgroup.Group
	eg.SetLimit(maxParallel)
	for i, en := range cl.entries {
		eg.Go(func() error {
			got, err := cl.Ask(ctx, en, method, path, body)
			mu.Lock()
			defer mu.Unlock()
			answers[i] = Answer{Entry: en.Name, Body: got, Err: err}
			done++
			progress(done, len(cl.entries))
			return nil
		})
	}
	_ = eg.Wait() // the errors are in the answers
	return answers
}

// First tries one entry after another until one answers with a status other
// than 404 or 503. Errors: *StatusError if that status is not 200, otherwise
// the errors of all entries.
func (cl *Client) First(ctx context.Context, method, path string, body any) ([]byte, error) {
	var errs []error
	for _, en := range cl.entries {
		got, err := cl.Ask(ctx, en, method, path, body)
		var se *StatusError
		if err == nil || errors.As(err, &se) && se.Status != http.StatusNotFound && se.Status != http.StatusServiceUnavailable {
			return got, err
		}
		errs = append(errs, fmt.Errorf("entry %s: %w", en.Name, err))
	}
	return nil, errors.Join(errs...)
}

// Ask sends a request to one entry. Errors: *StatusError for a status other
// than 200.
func (cl *Client) Ask(ctx context.Context, en citronstream.Entry, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	var sent io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		sent = bytes.NewReader(raw)
	}
	rq, err := http.NewRequestWithContext(ctx, method, cl.scheme+"://"+en.Admin+path, sent)
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Content-Type", "application/json")
	if cl.token != "" {
		rq.Header.Set("Authorization", "Bearer "+cl.token)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	got, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(got) > maxAnswerBytes {
		return nil, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	if rs.StatusCode != http.StatusOK {
		se := &StatusError{Status: rs.StatusCode, Body: got}
		var doc struct {
			Detail string `json:"detail"`
		}
		if json.Unmarshal(got, &doc) == nil {
			se.Detail = doc.Detail
		}
		return nil, se
	}
	return got, nil
}
