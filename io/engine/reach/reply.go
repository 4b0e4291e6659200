package reach

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ErrTooLarge means that the body of an answer is larger than the caller accepts.
var ErrTooLarge = errors.New("answer is too large")

// CodeOverCapacity is the error code of a target that refused a request before running it, with status 503.
const CodeOverCapacity = "over_capacity"

// maxErrorBytes bounds the part of an error answer that is read.
const maxErrorBytes = 8 << 10

// ReadBody reads and closes the body of an answer of at most limit bytes. A body that is too large or ends early is
// an error of class ErrUnknown.
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
	return b, nil
}

// errorBody is the error object of the OpenAI API.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// ReadRejection reads and closes an answer with an error status and returns it as an *Error. The class is ErrNotSent when
// the target was over capacity and ErrRejected otherwise.
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

// RetryAfter returns the wait in whole seconds that the headers ask for, at most one hour, or zero.
func RetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n <= 0 {
		return 0
	}
	return min(time.Duration(min(n, 3600))*time.Second, time.Hour)
}
