package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
)

// Code identifies the reason for a refusal.
type Code string

// The codes of refusals.
const (
	CodeBudgetExhausted        Code = "budget_exhausted"
	CodeOverloaded             Code = "overloaded"
	CodeUnavailable            Code = "unavailable"
	CodeInvalidKey             Code = "invalid_api_key"
	CodeInvalidRequest         Code = "invalid_request"
	CodeNotFound               Code = "not_found"
	CodeIdempotencyConflict    Code = "idempotency_conflict"
	CodeAlreadyRun             Code = "already_run"
	CodeTooLarge               Code = "request_too_large"
	CodeTargetFailed           Code = "target_failed"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeClaimUnavailable       Code = "claim_unavailable"
	CodeJournalUnavailable     Code = "journal_unavailable"
	CodeInternal               Code = "internal"
	CodeOperationTokenExpired  Code = "operation_token_expired"
	CodeKeyLimitReached        Code = "key_limit_reached"
	CodeTargetRejected         Code = "target_rejected"
	CodeIncompleteAnswer       Code = "incomplete_answer"
	CodeIdempotencyKeyRequired Code = "idempotency_key_required"
)

// codeInfo is how a code appears in an HTTP response.
type codeInfo struct {
	status    int
	errorType string
}

// codeInfos holds the HTTP status and the error type of each code.
var codeInfos = map[Code]codeInfo{
	CodeBudgetExhausted:        {http.StatusPaymentRequired, "budget_error"},
	CodeKeyLimitReached:        {http.StatusPaymentRequired, "budget_error"},
	CodeOverloaded:             {http.StatusTooManyRequests, "capacity_error"},
	CodeUnavailable:            {http.StatusServiceUnavailable, "capacity_error"},
	CodeJournalUnavailable:     {http.StatusServiceUnavailable, "capacity_error"},
	CodeClaimUnavailable:       {http.StatusServiceUnavailable, "capacity_error"},
	CodeInvalidKey:             {http.StatusUnauthorized, "authentication_error"},
	CodeInvalidRequest:         {http.StatusBadRequest, "invalid_request_error"},
	CodeIdempotencyKeyRequired: {http.StatusBadRequest, "invalid_request_error"},
	CodeOperationTokenExpired:  {http.StatusConflict, "invalid_request_error"},
	CodeNotFound:               {http.StatusNotFound, "invalid_request_error"},
	CodeIdempotencyConflict:    {http.StatusConflict, "invalid_request_error"},
	CodeAlreadyRun:             {http.StatusConflict, "invalid_request_error"},
	CodeTooLarge:               {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	CodeTargetFailed:           {http.StatusBadGateway, "target_error"},
	CodeTargetRejected:         {http.StatusBadGateway, "target_error"},
	CodeIncompleteAnswer:       {http.StatusBadGateway, "target_error"},
	CodeOutcomeUnknown:         {http.StatusGatewayTimeout, "target_error"},
	CodeInternal:               {http.StatusInternalServerError, "internal_error"},
}

// Refusal is the error that a caller receives instead of an answer. Its outcome tells whether the request ran.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    ident.Outcome
	RetryAfter time.Duration
	// Request is the id of the original request if it differs from that of this HTTP request, which repeats it.
	Request ident.RequestID
}

// Refuse returns a refusal. The message must not contain secrets or parts of the prompt.
func Refuse(code Code, o ident.Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: o, Message: fmt.Sprintf(format, args...)}
}

// After sets the delay after which the caller should retry, and returns r.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int { return codeInfos[r.Code].status }

// asRefusal converts any error to a refusal. An error that is not a refusal has an unknown outcome.
func asRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(CodeInternal, ident.OutcomeUnknown, "internal error")
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type    string        `json:"type"`
	Code    Code          `json:"code"`
	Message string        `json:"message"`
	Outcome ident.Outcome `json:"outcome"`
}

// jsonBody returns the refusal encoded as the body of an error response.
func (r *Refusal) jsonBody() []byte {
	b, err := json.Marshal(errorBody{errorFields{codeInfos[r.Code].errorType, r.Code, r.Message, r.Outcome}})
	if err != nil {
		return []byte(`{"error":{"type":"internal_error","code":"internal","message":"","outcome":"unknown"}}`)
	}
	return b
}

// defaultRetryAfter is sent with status 429 and 503 if the refusal has no RetryAfter.
const defaultRetryAfter = time.Second

func writeRefusal(w http.ResponseWriter, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Request-Outcome", string(r.Outcome))
	if r.Request != "" {
		h.Set("X-Request-Id", string(r.Request))
	}
	status := r.Status()
	retryAfter := r.RetryAfter
	if retryAfter == 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		retryAfter = defaultRetryAfter
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(r.jsonBody())
}
