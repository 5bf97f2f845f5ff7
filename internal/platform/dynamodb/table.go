// Package dynamodb is a client of the platform's table service, which speaks
// DynamoDB's JSON protocol.
package dynamodb

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	sdk "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/answerfirst"
	"github.com/citronstream/citronstream/internal/kernel/httphead"
)

// The attributes of an item. Expires is in seconds since 1970, as DynamoDB's
// time to live requires.
const (
	attrPart    = "Part"
	attrSort    = "Sort"
	attrVersion = "Version"
	attrBody    = "Body"
	attrExpires = "Expires"
)

// noSort is the sort key of a key without "/".
const noSort = "-"

// callTimeout bounds each call.
const callTimeout = 2 * time.Second

// Table implements citronstream.Table.
type Table struct {
	api  *sdk.Client
	clk  citronstream.Clock
	name string
}

type options struct {
	name, region, keyID, secret string
}

// Option changes a Table.
type Option func(*options)

// WithName sets the name of the table at the service.
func WithName(name string) Option { return func(op *options) { op.name = name } }

// WithRegion sets the region for request signatures.
func WithRegion(region string) Option { return func(op *options) { op.region = region } }

// WithCredentials sets the static credentials.
func WithCredentials(keyID, secret string) Option {
	return func(op *options) { op.keyID, op.secret = keyID, secret }
}

// New returns a client of the table service at an endpoint such as
// "http://10.0.0.1:8000". The client does not retry: callers know whether a
// retry is safe and how much time is left.
func New(clk citronstream.Clock, endpoint string, opts ...Option) *Table {
	op := options{name: "citronstream", region: "local", keyID: "none", secret: "none"}
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
	})
	return &Table{api: api, clk: clk, name: op.name}
}

// withTimeout returns a context that ends after callTimeout.
func (ta *Table) withTimeout(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := ta.clk.AfterFunc(callTimeout, cancel)
	return ctx, func() { timer.Stop(); cancel() }
}

// splitKey returns the partition key (up to the first "/") and the sort key
// (the rest).
func splitKey(key string) (string, string, error) {
	partition, sortKey, found := strings.Cut(key, "/")
	if !found {
		sortKey = noSort
	}
	if partition == "" || sortKey == "" || found && sortKey == noSort {
		return "", "", fmt.Errorf("table key %q has an empty or reserved partition or sort key", key)
	}
	return partition, sortKey, nil
}

func joinKey(partition, sortKey string) string {
	if sortKey == noSort {
		return partition
	}
	return partition + "/" + sortKey
}

func stringAttr(value string) types.AttributeValue { return &types.AttributeValueMemberS{Value: value} }

func numberAttr(value uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(value, 10)}
}

func itemKey(key string) (map[string]types.AttributeValue, error) {
	partition, sortKey, err := splitKey(key)
	return map[string]types.AttributeValue{attrPart: stringAttr(partition), attrSort: stringAttr(sortKey)}, err
}

// rowOf converts an item. The bool is false for an expired item, which the
// service may remove late.
func (ta *Table) rowOf(item map[string]types.AttributeValue) (citronstream.Row, bool, error) {
	partition, _ := item[attrPart].(*types.AttributeValueMemberS)
	sortKey, _ := item[attrSort].(*types.AttributeValueMemberS)
	version, _ := item[attrVersion].(*types.AttributeValueMemberN)
	if partition == nil || sortKey == nil || version == nil {
		return citronstream.Row{}, false, fmt.Errorf("table item lacks %s, %s or %s", attrPart, attrSort, attrVersion)
	}
	row := citronstream.Row{Key: joinKey(partition.Value, sortKey.Value)}
	var err error
	if row.Version, err = strconv.ParseUint(version.Value, 10, 64); err != nil {
		return row, false, fmt.Errorf("table item %s: attribute %s: %w", row.Key, attrVersion, err)
	}
	if body, ok := item[attrBody].(*types.AttributeValueMemberB); ok {
		row.Value = body.Value
	}
	if expires, ok := item[attrExpires].(*types.AttributeValueMemberN); ok {
		seconds, err := strconv.ParseInt(expires.Value, 10, 64)
		if err != nil {
			return row, false, fmt.Errorf("table item %s: attribute %s: %w", row.Key, attrExpires, err)
		}
		row.Expires = time.Unix(seconds, 0).UTC()
	}
	return row, row.Expires.IsZero() || ta.clk.Now().Before(row.Expires), nil
}

var _ citronstream.Table = (*Table)(nil)
