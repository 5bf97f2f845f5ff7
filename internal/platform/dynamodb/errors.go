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

// wrap adds the SDK's error to one of the sentinel errors.
func wrap(sentinel, err error) error { return fmt.Errorf("%w: %w", sentinel, err) }

func isThrottled(code string) bool {
	switch code {
	case "ProvisionedThroughputExceededException", "ProvisionedThroughputExceeded",
		"RequestLimitExceeded", "ThrottlingException", "ThrottlingError", "TransactionConflict", "TransactionConflictException":
		return true
	}
	return false
}

// errorCode returns the service's error code and the HTTP status, or "" and 0
// when the service did not answer.
func errorCode(err error) (string, int) {
	var code string
	var api smithy.APIError
	if errors.As(err, &api) {
		code = api.ErrorCode()
	}
	var res *awshttp.ResponseError
	if errors.As(err, &res) {
		return code, res.HTTPStatusCode()
	}
	return code, 0
}

func readError(err error) error {
	code, status := errorCode(err)
	switch {
	case isThrottled(code):
		return wrap(citronstream.ErrThrottled, err)
	case status >= 400 && status < 500:
		return fmt.Errorf("table read refused: %w", err)
	}
	return wrap(citronstream.ErrUnavailable, err)
}

// writeError maps an error of a write. Unless the service refused it explicitly,
// the write may have taken effect: DynamoDB documents that a write may have
// succeeded despite an internal error (status 500), and guarantees nothing for
// other 5xx answers.
func writeError(err error, ops []citronstream.Op, connected bool) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(canceled, ops)
	}
	code, status := errorCode(err)
	var netErr *net.OpError
	switch {
	case isThrottled(code):
		return wrap(citronstream.ErrThrottled, err)
	case code == "TransactionInProgressException":
		return wrap(citronstream.ErrUnknownOutcome, err)
	case status >= 400 && status < 500:
		return fmt.Errorf("table write refused: %w", err)
	case status == 0 && (!connected || errors.As(err, &netErr) && netErr.Op == "dial"):
		return wrap(citronstream.ErrUnavailable, err)
	}
	return wrap(citronstream.ErrUnknownOutcome, err)
}

// canceledError maps the reasons of a cancelled transaction, which wrote
// nothing. The reasons are in the order of the operations.
func canceledError(canceled *types.TransactionCanceledException, ops []citronstream.Op) error {
	var failed []string
	throttled := false
	for i, reason := range canceled.CancellationReasons {
		if reason.Code == nil || i >= len(ops) {
			continue
		}
		if *reason.Code == "ConditionalCheckFailed" {
			failed = append(failed, ops[i].Key)
		}
		throttled = throttled || isThrottled(*reason.Code)
	}
	switch {
	case failed != nil:
		return &citronstream.ConflictError{Keys: failed}
	case throttled:
		return wrap(citronstream.ErrThrottled, canceled)
	}
	return fmt.Errorf("table write refused: %w", canceled)
}
