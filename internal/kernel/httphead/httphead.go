// Package httphead refuses answers whose head is invalid although net/http accepts it.
package httphead

import (
	"fmt"
	"net/http"
	"strings"
)

// Check returns an error if the head of an answer is invalid.
func Check(res *http.Response) error {
	if res.StatusCode < http.StatusContinue {
		return fmt.Errorf("invalid status %q", res.Status)
	}
	for name := range res.Header {
		// Of the bytes that no name may have, net/http accepts the blank.
		if strings.Contains(name, " ") {
			return fmt.Errorf("header line with the invalid name %q", name)
		}
	}
	return nil
}

// Transport is an http.Transport on which an answer with an invalid head is an error.
type Transport struct{ *http.Transport }

// New returns a Transport that uses another one.
func New(tr *http.Transport) *Transport { return &Transport{Transport: tr} }

// RoundTrip implements http.RoundTripper.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	res, err := tr.Transport.RoundTrip(rq)
	if err != nil {
		return nil, err
	}
	if err = Check(res); err == nil {
		return res, nil
	}
	_ = res.Body.Close()
	tr.CloseIdleConnections() // that of an answer without a body is one of them already
	return nil, err
}
