package dynamodb

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// value is an AttributeValue of type S, N or B: text, number or bytes.
type value struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type item map[string]value

func (it item) text(name string) string {
	if it[name].S != nil {
		return *it[name].S
	}
	return ""
}

func (it item) number(name string) (uint64, bool) {
	if it[name].N == nil {
		return 0, false
	}
	parsed, err := strconv.ParseUint(*it[name].N, 10, 64)
	return parsed, err == nil
}

// noSortKey is the sort key of a row whose key has no "/".
const noSortKey = "-"

func (it item) key() (string, error) {
	part, rest := it.text("Part"), it.text("Sort")
	if part == "" || rest == "" {
		return "", invalid("Part and Sort must be non-empty text")
	}
	if rest == noSortKey {
		return part, nil
	}
	return part + "/" + rest, nil
}

func keyItem(key string) item {
	part, rest, found := strings.Cut(key, "/")
	if !found {
		rest = noSortKey
	}
	return item{"Part": {S: &part}, "Sort": {S: &rest}}
}

func itemOf(row citronstream.Row) item {
	it := keyItem(row.Key)
	version := strconv.FormatUint(row.Version, 10)
	it["Version"] = value{N: &version}
	if len(row.Value) > 0 {
		it["Body"] = value{B: row.Value}
	}
	if !row.Expires.IsZero() {
		seconds := strconv.FormatInt(row.Expires.Unix(), 10)
		it["Expires"] = value{N: &seconds}
	}
	return it
}

func (it item) expires() time.Time {
	if seconds, ok := it.number("Expires"); ok {
		return time.Unix(int64(seconds), 0)
	}
	return time.Time{}
}

func decode(body []byte, in any) error {
	if err := json.Unmarshal(body, in); err != nil {
		return &apiError{status: 400, code: "SerializationException", text: err.Error()}
	}
	return nil
}

func (se *Server) getItem(ctx context.Context, body []byte) (any, error) {
	var in struct{ Key item }
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	key, err := in.Key.key()
	if err != nil {
		return nil, err
	}
	row, err := se.table.Get(ctx, key)
	if errors.Is(err, citronstream.ErrNotFound) {
		return struct{}{}, nil
	}
	return map[string]item{"Item": itemOf(row)}, err
}

type queryIn struct {
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
}

func (se *Server) query(ctx context.Context, body []byte) (any, error) {
	var in queryIn
	if err := decode(body, &in); err != nil {
		return nil, err
	}
	part, rest, err := in.keys()
	if err != nil {
		return nil, err
	}
	prefix := part + "/" + rest
	rows, err := se.table.List(ctx, prefix, "", 1<<30)
	if err != nil {
		return nil, err
	}
	if rest == "" {
		if row, err := se.table.Get(ctx, part); err == nil {
			rows = slices.Insert(rows, 0, row)
		}
	}
	return se.queryPage(rows, in.ExclusiveStartKey)
}

// keys returns the partition key and the prefix of the sort key.
func (in queryIn) keys() (string, string, error) {
	expr := substitute(in.KeyConditionExpression, in.ExpressionAttributeNames)
	if expr != "Part = :p" && expr != "Part = :p AND begins_with(Sort, :s)" {
		return "", "", invalid("unsupported KeyConditionExpression " + expr)
	}
	part, rest := in.ExpressionAttributeValues.text(":p"), in.ExpressionAttributeValues.text(":s")
	if part == "" || strings.Contains(expr, ":s") && rest == "" {
		return "", "", invalid("empty text in KeyConditionExpression")
	}
	return part, rest, nil
}

func (se *Server) queryPage(rows []citronstream.Row, start item) (any, error) {
	if start != nil {
		after, err := start.key()
		if err != nil {
			return nil, err
		}
		rows = slices.DeleteFunc(rows, func(row citronstream.Row) bool { return row.Key <= after })
	}
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: []item{}}
	for _, row := range rows[:min(se.pageSize, len(rows))] {
		out.Items = append(out.Items, itemOf(row))
	}
	out.Count = len(out.Items)
	if len(rows) > se.pageSize {
		out.LastEvaluatedKey = keyItem(rows[se.pageSize-1].Key)
	}
	return out, nil
}
