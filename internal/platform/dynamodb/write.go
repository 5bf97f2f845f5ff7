package dynamodb

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	sdk "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/citronstream/citronstream"
	"github.com/google/uuid"
)

// Condition and update expressions. An expired item counts as absent, because
// DynamoDB may remove it late.
const (
	condAbsent  = "attribute_not_exists(#p) OR #x <= :now"
	condVersion = "#v = :old AND (attribute_not_exists(#x) OR #x > :now)"
	// setAny increments the version unconditionally.
	setAny        = "SET #v = if_not_exists(#v, :zero) + :one, #b = :body REMOVE #x"
	setAnyExpires = "SET #v = if_not_exists(#v, :zero) + :one, #b = :body, #x = :x"
)

// maxTokenLength is the maximum length of a ClientRequestToken in DynamoDB.
const maxTokenLength = 36

// Write implements citronstream.Table with one TransactWriteItems call.
func (ta *Table) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if len(ops) == 0 || len(ops) > citronstream.MaxOps {
		return fmt.Errorf("a transaction has 1 to %d operations, got %d", citronstream.MaxOps, len(ops))
	}
	in := &sdk.TransactWriteItemsInput{}
	if len(opID) > maxTokenLength {
		opID = uuid.NewSHA1(uuid.NameSpaceOID, []byte(opID)).String()
	}
	if opID != "" {
		in.ClientRequestToken = &opID
	}
	for _, op := range ops {
		item, err := ta.transactItem(op)
		if err != nil {
			return err
		}
		in.TransactItems = append(in.TransactItems, item)
	}
	ctx, cancel := ta.withTimeout(ctx)
	defer cancel()
	// Without a connection, no byte of the request was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	_, err := ta.api.TransactWriteItems(ctx, in)
	return writeError(err, ops, connected.Load())
}

type expression struct {
	cond   *string
	names  map[string]string
	values map[string]types.AttributeValue
}

// condition returns the condition of an operation; it is empty for AnyVersion.
func (ta *Table) condition(op citronstream.Op) expression {
	if op.IfVersion == citronstream.AnyVersion {
		return expression{}
	}
	ex := expression{
		names:  map[string]string{"#x": attrExpires},
		values: map[string]types.AttributeValue{":now": numberAttr(uint64(ta.clk.Now().Unix()))},
	}
	cond := condAbsent
	if op.IfVersion == 0 {
		ex.names["#p"] = attrPart
	} else {
		cond = condVersion
		ex.names["#v"] = attrVersion
		ex.values[":old"] = numberAttr(op.IfVersion)
	}
	ex.cond = &cond
	return ex
}

func (ta *Table) transactItem(op citronstream.Op) (types.TransactWriteItem, error) {
	item, err := itemKey(op.Key)
	if err != nil {
		return types.TransactWriteItem{}, err
	}
	ex := ta.condition(op)
	switch {
	case op.CheckOnly && ex.cond == nil:
		return types.TransactWriteItem{}, fmt.Errorf("operation on key %s is a check without a version", op.Key)
	case op.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &ta.name, Key: item, ConditionExpression: ex.cond,
			ExpressionAttributeNames: ex.names, ExpressionAttributeValues: ex.values,
		}}, nil
	case op.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &ta.name, Key: item, ConditionExpression: ex.cond,
			ExpressionAttributeNames: ex.names, ExpressionAttributeValues: ex.values,
		}}, nil
	case ex.cond == nil:
		return ta.update(op, item), nil
	}
	item[attrVersion] = numberAttr(op.IfVersion + 1)
	item[attrBody] = &types.AttributeValueMemberB{Value: op.Value}
	if !op.Expires.IsZero() {
		item[attrExpires] = expiresAttr(op.Expires)
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &ta.name, Item: item, ConditionExpression: ex.cond,
		ExpressionAttributeNames: ex.names, ExpressionAttributeValues: ex.values,
	}}, nil
}

// update returns an operation that writes the row unconditionally.
func (ta *Table) update(op citronstream.Op, item map[string]types.AttributeValue) types.TransactWriteItem {
	set := setAny
	values := map[string]types.AttributeValue{
		":zero": numberAttr(0), ":one": numberAttr(1), ":body": &types.AttributeValueMemberB{Value: op.Value},
	}
	if !op.Expires.IsZero() {
		set = setAnyExpires
		values[":x"] = expiresAttr(op.Expires)
	}
	return types.TransactWriteItem{Update: &types.Update{
		TableName: &ta.name, Key: item, UpdateExpression: &set,
		ExpressionAttributeNames:  map[string]string{"#v": attrVersion, "#b": attrBody, "#x": attrExpires},
		ExpressionAttributeValues: values,
	}}
}

// expiresAttr rounds up to whole seconds, so that no row expires early.
func expiresAttr(at time.Time) types.AttributeValue {
	seconds := at.Unix()
	if at.Nanosecond() > 0 {
		seconds++
	}
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(seconds, 10)}
}
