package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// Problem codes that are used in several places.
const (
	codeStaleVersion   = "stale_version"
	codeOutcomeUnknown = "outcome_unknown"
	codeLedgerPending  = "ledger_pending"
	codeNotFound       = "not_found"
)

// Problem is an error response of the administration API.
type Problem struct {
	Status     int           `json:"-"`
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Faults     object.Faults `json:"faults,omitempty"`
	RetryAfter time.Duration `json:"-"`
	// Version is the current version of the object, or zero if unknown. It is sent in the ETag header.
	Version ident.ObjectVersion `json:"-"`
}

// Error returns the code and the message, followed by one line for each fault.
func (p *Problem) Error() string {
	s := p.Code + ": " + p.Message
	for _, f := range p.Faults {
		s += "\n  " + f.Path + ": " + f.Message
	}
	return s
}

type problemBody struct {
	Error *Problem `json:"error"`
}

func newProblem(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

func invalidFields(faults object.Faults) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: "invalid", Message: "the request has invalid fields", Faults: faults}
}

// staleVersion returns the problem for a change whose precondition names a version other than the current one.
func staleVersion(current ident.ObjectVersion) *Problem {
	p := newProblem(http.StatusPreconditionFailed, codeStaleVersion, "the object has version %d", current)
	if current == 0 {
		p.Message = "the object does not exist or its version is not known"
	}
	p.Version = current
	return p
}

// unknownOutcome returns the problem for a change that may or may not have taken effect.
func unknownOutcome() *Problem {
	return newProblem(http.StatusGatewayTimeout, codeOutcomeUnknown, "the platform did not confirm the change, which may be in force; read it back")
}

// storeProblem maps a kind of platform error to a status and a problem code.
type storeProblem struct {
	kind   error
	status int
	code   string
}

var storeProblems = []storeProblem{
	{store.ErrAbsent, http.StatusNotFound, codeNotFound},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{store.ErrRateLimited, http.StatusServiceUnavailable, "platform_limited"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "platform_unavailable"},
}

// platformRetryAfter is the Retry-After value for platform errors if the platform sent none.
const platformRetryAfter = 2 * time.Second

// asProblem converts an error into a problem. It hides the details of unexpected errors.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var storeErr *store.Error
	_ = errors.As(err, &storeErr)
	switch {
	case errors.Is(err, store.ErrUnknown):
		return unknownOutcome()
	case errors.Is(err, store.ErrConflict):
		if storeErr == nil {
			return staleVersion(0)
		}
		return staleVersion(storeErr.Version)
	}
	for _, mapping := range storeProblems {
		if !errors.Is(err, mapping.kind) {
			continue
		}
		out := newProblem(mapping.status, mapping.code, "%s", mapping.kind.Error())
		if mapping.status == http.StatusServiceUnavailable {
			out.RetryAfter = platformRetryAfter
			if storeErr != nil && storeErr.RetryAfter > 0 {
				out.RetryAfter = storeErr.RetryAfter
			}
		}
		return out
	}
	return newProblem(http.StatusInternalServerError, "internal", "internal error")
}

// ledgerProblem converts an error of a ledger operation into a problem. Problems and platform errors are returned
// unchanged.
func ledgerProblem(err error) error {
	var p *Problem
	var storeErr *store.Error
	if errors.As(err, &p) || errors.As(err, &storeErr) {
		return err
	}
	if trace.IsAlreadyExists(err) {
		return newProblem(http.StatusConflict, "idempotency_conflict", "%s", trace.UserMessage(err))
	}
	return newProblem(http.StatusConflict, "ledger_refused", "%s", trace.UserMessage(err))
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	if p.Version != 0 {
		w.Header().Set("ETag", etag(p.Version))
	}
	writeJSON(w, p.Status, problemBody{p})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
