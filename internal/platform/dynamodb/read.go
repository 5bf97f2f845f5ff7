package dynamodb

import (
	"context"
	"fmt"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	sdk "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/citronstream/citronstream"
)

// maxPages bounds the pages of one List. A page holds up to 1 MB.
const maxPages = 1024

// Get implements citronstream.Table with a consistent read.
func (ta *Table) Get(ctx context.Context, key string) (citronstream.Row, error) {
	item, err := itemKey(key)
	if err != nil {
		return citronstream.Row{}, err
	}
	ctx, cancel := ta.withTimeout(ctx)
	defer cancel()
	out, err := ta.api.GetItem(ctx, &sdk.GetItemInput{TableName: &ta.name, Key: item, ConsistentRead: aws.Bool(true)})
	if err != nil {
		return citronstream.Row{}, readError(err)
	}
	if len(out.Item) == 0 {
		return citronstream.Row{}, citronstream.ErrNotFound
	}
	row, live, err := ta.rowOf(out.Item)
	if err == nil && !live {
		err = citronstream.ErrNotFound
	}
	if err != nil {
		return citronstream.Row{}, err
	}
	return row, nil
}

// List implements citronstream.Table with consistent reads.
func (ta *Table) List(ctx context.Context, prefix, after string, limit int) ([]citronstream.Row, error) {
	partition, sortKey, found := strings.Cut(prefix, "/")
	if !found || partition == "" {
		return nil, fmt.Errorf("table prefix %q has no \"/\"", prefix)
	}
	in := &sdk.QueryInput{
		TableName:                 &ta.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#p = :p"),
		ExpressionAttributeNames:  map[string]string{"#p": attrPart},
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": stringAttr(partition)},
	}
	// DynamoDB refuses an empty string in a key condition.
	if sortKey != "" {
		in.KeyConditionExpression = aws.String("#p = :p AND begins_with(#s, :s)")
		in.ExpressionAttributeNames["#s"] = attrSort
		in.ExpressionAttributeValues[":s"] = stringAttr(sortKey)
	}
	if after != "" {
		start, err := itemKey(after)
		if err != nil {
			return nil, err
		}
		in.ExclusiveStartKey = start
	}
	var rows []citronstream.Row
	for range maxPages {
		page, last, err := ta.queryPage(ctx, in, prefix)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(rows) >= limit || len(last) == 0 {
			return rows[:min(limit, len(rows))], nil
		}
		in.ExclusiveStartKey = last
	}
	return nil, fmt.Errorf("list of prefix %s has more than %d pages", prefix, maxPages)
}

func (ta *Table) queryPage(ctx context.Context, in *sdk.QueryInput, prefix string) ([]citronstream.Row, map[string]types.AttributeValue, error) {
	ctx, cancel := ta.withTimeout(ctx)
	defer cancel()
	out, err := ta.api.Query(ctx, in)
	if err != nil {
		return nil, nil, readError(err)
	}
	var rows []citronstream.Row
	for _, item := range out.Items {
		row, live, err := ta.rowOf(item)
		if err != nil {
			return nil, nil, err
		}
		// The row whose key has no "/" is in the same partition.
		if live && strings.HasPrefix(row.Key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, out.LastEvaluatedKey, nil
}
