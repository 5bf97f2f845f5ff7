package dynamodb

import (
	"errors"
	"fmt"
	"net"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/citronstream/citronstream"
)

// wrap keeps the SDK's error text behind one of the sentinel errors.
func wrap(sentinel, err error) error { return fmt.Errorf("%w: %w", sentinel, err) }

func throttled(code string) bool {
	switch code {
	case "ProvisionedThroughputExceededException", "ProvisionedThroughputExceeded",
		"RequestLimitExceeded", "ThrottlingException", "ThrottlingError", "TransactionConflict", "TransactionConflictException":
		return true
	}
	return false
}

// codeOf returns the service's error code and HTTP status; both are empty
// when the service gave no answer.
func codeOf(err error) (string, int) {
	var code string
	var api smithy.APIError
	if errors.As(err, &api) {
		code = api.ErrorCode()
	}
	var answer *awshttp.ResponseError
	if errors.As(err, &answer) {
		return code, answer.HTTPStatusCode()
	}
	return code, 0
}

func readError(err error) error {
	code, status := codeOf(err)
	switch {
	case throttled(code):
		return wrap(citronstream.ErrThrottled, err)
	case status >= 400 && status < 500:
		return fmt.Errorf("table read refused: %w", err)
	}
	return wrap(citronstream.ErrUnavailable, err)
}

// writeError maps an error of a write. Whatever the service did not refuse in
// so many words may have taken effect: DynamoDB documents that a write may
// have succeeded despite an internal error (status 500), and gives no promise
// for other 5xx answers.
func writeError(err error, ops []citronstream.Op, connected bool) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(canceled, ops)
	}
	code, status := codeOf(err)
	var dial *net.OpError
	switch {
	case throttled(code):
		return wrap(citronstream.ErrThrottled, err)
	case code == "TransactionInProgressException":
		return wrap(citronstream.ErrUnknownOutcome, err)
	case status >= 400 && status < 500:
		return fmt.Errorf("table write refused: %w", err)
	case status == 0 && (!connected || errors.As(err, &dial) && dial.Op == "dial"):
		return wrap(citronstream.ErrUnavailable, err)
	}
	return wrap(citronstream.ErrUnknownOutcome, err)
}

// canceledError maps the reasons of a cancelled transaction, which stand in
// the order of the operations. Nothing of it was written.
func canceledError(canceled *types.TransactionCanceledException, ops []citronstream.Op) error {
	var failed []string
	busy := false
	for i, reason := range canceled.CancellationReasons {
		if reason.Code == nil || i >= len(ops) {
			continue
		}
		if *reason.Code == "ConditionalCheckFailed" {
			failed = append(failed, ops[i].Key)
		}
		busy = busy || throttled(*reason.Code)
	}
	switch {
	case failed != nil:
		return &citronstream.ConflictError{Keys: failed}
	case busy:
		return wrap(citronstream.ErrThrottled, canceled)
	}
	return fmt.Errorf("table write refused: %w", canceled)
}
