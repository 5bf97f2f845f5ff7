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

// Condition expressions. An item that has expired counts as absent, because
// DynamoDB removes it late.
const (
	condAbsent  = "attribute_not_exists(#p) OR #x <= :now"
	condVersion = "#v = :old AND (attribute_not_exists(#x) OR #x > :now)"
	// setAny counts the version up whatever it is.
	setAny        = "SET #v = if_not_exists(#v, :zero) + :one, #b = :body REMOVE #x"
	setAnyExpires = "SET #v = if_not_exists(#v, :zero) + :one, #b = :body, #x = :x"
)

// maxToken is the longest ClientRequestToken that DynamoDB takes.
const maxToken = 36

// Write implements citronstream.Table with one TransactWriteItems.
func (ta *Table) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if len(ops) == 0 || len(ops) > citronstream.MaxOps {
		return fmt.Errorf("a transaction has 1 to %d operations, got %d", citronstream.MaxOps, len(ops))
	}
	in := &sdk.TransactWriteItemsInput{}
	if len(opID) > maxToken {
		opID = uuid.NewSHA1(uuid.NameSpaceOID, []byte(opID)).String()
	}
	if opID != "" {
		in.ClientRequestToken = &opID
	}
	for _, op := range ops {
		item, err := ta.itemOf(op)
		if err != nil {
			return err
		}
		in.TransactItems = append(in.TransactItems, item)
	}
	ctx, done := ta.bound(ctx)
	defer done()
	// Without a connection no byte of the request can have been sent.
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
		values: map[string]types.AttributeValue{":now": number(uint64(ta.clk.Now().Unix()))},
	}
	cond := condAbsent
	if op.IfVersion == 0 {
		ex.names["#p"] = attrPart
	} else {
		cond = condVersion
		ex.names["#v"] = attrVersion
		ex.values[":old"] = number(op.IfVersion)
	}
	ex.cond = &cond
	return ex
}

func (ta *Table) itemOf(op citronstream.Op) (types.TransactWriteItem, error) {
	item, err := itemKey(op.Key)
	if err != nil {
		return types.TransactWriteItem{}, err
	}
	ex := ta.condition(op)
	switch {
	case op.CheckOnly && ex.cond == nil:
		return types.TransactWriteItem{}, fmt.Errorf("operation on %s checks nothing", op.Key)
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
	item[attrVersion] = number(op.IfVersion + 1)
	item[attrBody] = &types.AttributeValueMemberB{Value: op.Value}
	if !op.Expires.IsZero() {
		item[attrExpires] = expires(op.Expires)
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &ta.name, Item: item, ConditionExpression: ex.cond,
		ExpressionAttributeNames: ex.names, ExpressionAttributeValues: ex.values,
	}}, nil
}

// update writes whatever version the row has.
func (ta *Table) update(op citronstream.Op, item map[string]types.AttributeValue) types.TransactWriteItem {
	set := setAny
	values := map[string]types.AttributeValue{
		":zero": number(0), ":one": number(1), ":body": &types.AttributeValueMemberB{Value: op.Value},
	}
	if !op.Expires.IsZero() {
		set = setAnyExpires
		values[":x"] = expires(op.Expires)
	}
	return types.TransactWriteItem{Update: &types.Update{
		TableName: &ta.name, Key: item, UpdateExpression: &set,
		ExpressionAttributeNames:  map[string]string{"#v": attrVersion, "#b": attrBody, "#x": attrExpires},
		ExpressionAttributeValues: values,
	}}
}

// expires rounds up to whole seconds, so that no row ends early.
func expires(at time.Time) types.AttributeValue {
	seconds := at.Unix()
	if at.Nanosecond() > 0 {
		seconds++
	}
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(seconds, 10)}
}
