// Package s3 is a client of the platform's object and weight store, which
// speaks S3's REST protocol.
package s3

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	sdk "github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/answerfirst"
	"github.com/citronstream/citronstream/internal/kernel/httphead"
)

const (
	// weightPrefix is the key prefix of model weights.
	weightPrefix = "weights/"
	// callTimeout bounds each Get and Put. Fetch is bounded by its context alone.
	callTimeout = 5 * time.Second
)

// Store implements citronstream.Objects and citronstream.Weights.
type Store struct {
	api *sdk.Client
	clk citronstream.Clock
	op  options
}

type options struct {
	bucket, region, keyID, secret string
	maxBytes                      int64
}

// Option changes a Store.
type Option func(*options)

// WithBucket sets the bucket.
func WithBucket(bucket string) Option { return func(op *options) { op.bucket = bucket } }

// WithRegion sets the region for request signatures.
func WithRegion(region string) Option { return func(op *options) { op.region = region } }

// WithCredentials sets the static credentials.
func WithCredentials(keyID, secret string) Option {
	return func(op *options) { op.keyID, op.secret = keyID, secret }
}

// WithMaxBytes bounds an object that Get reads; the default is 64 MiB.
func WithMaxBytes(size int64) Option { return func(op *options) { op.maxBytes = size } }

// New returns a client of the store at an endpoint such as
// "http://10.0.0.1:9000". The client makes no retries.
func New(clk citronstream.Clock, endpoint string, opts ...Option) *Store {
	op := options{
		bucket: "citronstream", region: "local", keyID: "none", secret: "none",
		maxBytes: 64 << 20,
	}
	for _, opt := range opts {
		opt(&op)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 16, MaxConnsPerHost: 64, IdleConnTimeout: time.Minute,
	}
	api := sdk.New(sdk.Options{
		BaseEndpoint: &endpoint,
		Region:       op.region,
		Credentials:  credentials.NewStaticCredentialsProvider(op.keyID, op.secret, ""),
		HTTPClient:   &http.Client{Transport: httphead.New(answerfirst.Use(transport))},
		Retryer:      aws.NopRetryer{},
		UsePathStyle: true,
		// Object keys are digests, which readers verify.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{api: api, clk: clk, op: op}
}

func (st *Store) withTimeout(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := st.clk.AfterFunc(callTimeout, cancel)
	return ctx, func() { timer.Stop(); cancel() }
}

// Put implements citronstream.Objects. ErrUnavailable leaves open whether the
// object was stored; a retry is safe in both cases.
func (st *Store) Put(ctx context.Context, key string, body []byte) error {
	ctx, cancel := st.withTimeout(ctx)
	defer cancel()
	_, err := st.api.PutObject(ctx, &sdk.PutObjectInput{Bucket: &st.op.bucket, Key: &key, Body: bytes.NewReader(body)})
	return storeError(err)
}

// Get implements citronstream.Objects.
func (st *Store) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := st.withTimeout(ctx)
	defer cancel()
	out, err := st.api.GetObject(ctx, &sdk.GetObjectInput{Bucket: &st.op.bucket, Key: &key})
	if err != nil {
		return nil, storeError(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, st.op.maxBytes+1))
	if err != nil {
		return nil, storeError(err)
	}
	if int64(len(body)) > st.op.maxBytes {
		return nil, fmt.Errorf("object %s is larger than %d bytes", key, st.op.maxBytes)
	}
	return body, nil
}

// Fetch implements citronstream.Weights. It discards the bytes, which the
// engine loads itself: the agent needs only their size and the store's rate.
func (st *Store) Fetch(ctx context.Context, model string) (int64, error) {
	key := weightPrefix + model
	out, err := st.api.GetObject(ctx, &sdk.GetObjectInput{Bucket: &st.op.bucket, Key: &key})
	if err != nil {
		return 0, storeError(err)
	}
	defer out.Body.Close()
	size, err := io.Copy(io.Discard, out.Body)
	return size, storeError(err)
}

func storeError(err error) error {
	if err == nil {
		return nil
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		switch api.ErrorCode() {
		case "NoSuchKey", "NotFound":
			return fmt.Errorf("%w: %w", citronstream.ErrNotFound, err)
		case "SlowDown":
			return fmt.Errorf("%w: %w", citronstream.ErrThrottled, err)
		case "AccessDenied", "InvalidAccessKeyId", "SignatureDoesNotMatch", "NoSuchBucket", "EntityTooLarge":
			return fmt.Errorf("object store refused the request: %w", err)
		}
	}
	return fmt.Errorf("%w: %w", citronstream.ErrUnavailable, err)
}

var (
	_ citronstream.Objects = (*Store)(nil)
	_ citronstream.Weights = (*Store)(nil)
)
