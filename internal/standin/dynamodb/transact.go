package dynamodb

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// write is one of Put, Update, Delete and ConditionCheck.
type write struct {
	Key, Item                 item
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

type transactIn struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, Update, Delete, ConditionCheck *write }
}

func (se *Server) transact(ctx context.Context, body []byte) (any, error) {
	var in transactIn
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	if len(in.TransactItems) == 0 || len(in.TransactItems) > citronstream.MaxOps || len(in.ClientRequestToken) > 36 {
		return nil, invalid("a transaction has 1 to 100 items and a token of at most 36 bytes")
	}
	ops := make([]citronstream.Op, 0, len(in.TransactItems))
	for _, ti := range in.TransactItems {
		op, err := opOf(ti.Put, ti.Update, ti.Delete, ti.ConditionCheck)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(ops, func(other citronstream.Op) bool { return other.Key == op.Key }) {
			return nil, invalid("transaction has several operations on one item")
		}
		ops = append(ops, op)
	}
	err := se.table.Write(ctx, in.ClientRequestToken, ops...)
	var conflict *citronstream.ConflictError
	if errors.As(err, &conflict) {
		return nil, canceled(ops, conflict)
	}
	return struct{}{}, err
}

func canceled(ops []citronstream.Op, conflict *citronstream.ConflictError) error {
	answer := &apiError{status: http.StatusBadRequest, code: "TransactionCanceledException", text: "transaction cancelled"}
	for _, op := range ops {
		code := "None"
		if slices.Contains(conflict.Keys, op.Key) {
			code = "ConditionalCheckFailed"
		}
		answer.reasons = append(answer.reasons, reason{Code: code})
	}
	return answer
}

func opOf(put, update, remove, check *write) (citronstream.Op, error) {
	switch {
	case put != nil:
		op, err := put.op(put.Item)
		op.Value, op.Expires = put.Item["Body"].B, put.Item.expires()
		if version, _ := put.Item.number("Version"); err == nil && version != op.IfVersion+1 {
			err = invalid("Put must set Version to one more than its condition")
		}
		return op, err
	case update != nil:
		return update.updateOp()
	case remove != nil:
		op, err := remove.op(remove.Key)
		op.Delete = true
		return op, err
	case check != nil:
		op, err := check.op(check.Key)
		op.CheckOnly = true
		return op, err
	}
	return citronstream.Op{}, invalid("empty item in a transaction")
}

// op parses the key and the condition. Only the conditions of a version check
// are supported; any other is refused.
func (wr *write) op(at item) (citronstream.Op, error) {
	key, err := at.key()
	if err != nil {
		return citronstream.Op{}, err
	}
	op := citronstream.Op{Key: key}
	switch expr := substitute(wr.ConditionExpression, wr.ExpressionAttributeNames); expr {
	case "":
		op.IfVersion = citronstream.AnyVersion
	case "attribute_not_exists(Part) OR Expires <= :now":
	case "Version = :old AND (attribute_not_exists(Expires) OR Expires > :now)":
		var ok bool
		if op.IfVersion, ok = wr.ExpressionAttributeValues.number(":old"); !ok {
			return op, invalid(":old is not a number")
		}
	default:
		return op, invalid("unsupported ConditionExpression " + expr)
	}
	return op, nil
}

func (wr *write) updateOp() (citronstream.Op, error) {
	op, err := wr.op(wr.Key)
	if err != nil {
		return op, err
	}
	op.Value = wr.ExpressionAttributeValues[":body"].B
	const set = "SET Version = if_not_exists(Version, :zero) + :one, Body = :body"
	switch expr := substitute(wr.UpdateExpression, wr.ExpressionAttributeNames); expr {
	case set + " REMOVE Expires":
	case set + ", Expires = :x":
		op.Expires = item{"Expires": wr.ExpressionAttributeValues[":x"]}.expires()
	default:
		return op, invalid("unsupported UpdateExpression " + expr)
	}
	return op, nil
}

// substitute replaces the placeholders of an expression by attribute names.
func substitute(expr string, names map[string]string) string {
	for placeholder, name := range names {
		expr = strings.ReplaceAll(expr, placeholder, name)
	}
	return expr
}
