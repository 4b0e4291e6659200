package send

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumsaddle/core/retry"
)

// ErrTooLarge means that a response body is larger than the limit given to ReadBody.
var ErrTooLarge = errors.New("answer is too large")

// CodeOverCapacity is the error code of a target that refused a request before running it, with status 503.
const CodeOverCapacity = "over_capacity"

// maxErrorBytes bounds the part of an error response that is read.
const maxErrorBytes = 8 << 10

// errNoBody means that the connection ended in order after the head of a success without a length.
var errNoBody = fmt.Errorf("answer without a length has no body: %w", io.ErrUnexpectedEOF)

// needsBody reports whether a response with an empty body can't be taken for whole. A success whose end is that of its
// connection looks the same if the target crashes after the head.
func needsBody(resp *http.Response) bool {
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	return isUnframed(resp) && resp.StatusCode < http.StatusMultipleChoices && !isHead
}

// isUnframed reports whether the end of its connection ends a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// ReadBody reads and closes a response body of at most limit bytes. A body that is too large, ends early or is missing
// from a success without a length gives an error of class ErrOutcomeUnknown.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength > limit {
		return nil, &Error{Class: ErrOutcomeUnknown, Status: resp.StatusCode, Err: ErrTooLarge}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &Error{Class: ErrOutcomeUnknown, Status: resp.StatusCode, Err: err}
	}
	if int64(len(b)) > limit {
		return nil, &Error{Class: ErrOutcomeUnknown, Status: resp.StatusCode, Err: ErrTooLarge}
	}
	if len(b) == 0 && needsBody(resp) {
		return nil, &Error{Class: ErrOutcomeUnknown, Status: resp.StatusCode, Err: errNoBody}
	}
	return b, nil
}

// errorBody is the body of an error response of the OpenAI API.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// ReadRejection reads and closes a response with an error status and returns it as an *Error. The class is ErrNotSent
// when the target was over capacity and ErrRejected otherwise.
func ReadRejection(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := &Error{Class: ErrRejected, Status: resp.StatusCode, RetryAfter: RetryAfter(resp.Header), Err: err}
	var body errorBody
	if json.Unmarshal(b, &body) == nil {
		e.Code = body.Error.Code
		if body.Error.Message != "" && err == nil {
			e.Err = fmt.Errorf("%.200s", body.Error.Message)
		}
	}
	if e.Status == http.StatusServiceUnavailable && e.Code == CodeOverCapacity {
		e.Class = ErrNotSent
	}
	return e
}

// RetryAfter returns the delay in the Retry-After header, or zero if it asks for none.
func RetryAfter(h http.Header) time.Duration { return retry.ParseAfter(h.Get("Retry-After")) }
