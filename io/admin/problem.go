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

// Codes that more than one place uses.
const (
	codeStale   = "stale_version"
	codeUnknown = "outcome_unknown"
	codePending = "ledger_pending"
	codeAbsent  = "not_found"
)

// Problem is a refusal by the administration API.
type Problem struct {
	Status     int           `json:"-"`
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Faults     object.Faults `json:"faults,omitempty"`
	RetryAfter time.Duration `json:"-"`
	// Version is the current version of the object where it is known. It is sent as the ETag.
	Version ident.ObjectVersion `json:"-"`
}

// Error returns the code and the message, and one line for each fault.
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

func problem(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

func invalid(faults object.Faults) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: "invalid", Message: "the request has invalid fields", Faults: faults}
}

// stale refuses a change that names another version than the current one.
func stale(current ident.ObjectVersion) *Problem {
	p := problem(http.StatusPreconditionFailed, codeStale, "the object has version %d", current)
	if current == 0 {
		p.Message = "the object does not exist or its version is not known"
	}
	p.Version = current
	return p
}

// unknownOutcome tells that a change may have had its effect.
func unknownOutcome() *Problem {
	return problem(http.StatusGatewayTimeout, codeUnknown, "the platform did not confirm the change, which may be in force; read it back")
}

// storeRow gives the answer for a kind of platform error.
type storeRow struct {
	kind   error
	status int
	code   string
}

var storeTable = []storeRow{
	{store.ErrAbsent, http.StatusNotFound, codeAbsent},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{store.ErrLimited, http.StatusServiceUnavailable, "platform_limited"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "platform_unavailable"},
}

// platformRetry is the Retry-After of an answer that waits for the platform, where the platform names no time.
const platformRetry = 2 * time.Second

// asProblem turns an error of a lower layer into a problem.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var from *store.Error
	_ = errors.As(err, &from)
	switch {
	case errors.Is(err, store.ErrUnknown):
		return unknownOutcome()
	case errors.Is(err, store.ErrConflict):
		if from == nil {
			return stale(0)
		}
		return stale(from.Version)
	}
	for _, row := range storeTable {
		if !errors.Is(err, row.kind) {
			continue
		}
		out := problem(row.status, row.code, "%s", row.kind.Error())
		if row.status == http.StatusServiceUnavailable {
			out.RetryAfter = platformRetry
			if from != nil && from.RetryAfter > 0 {
				out.RetryAfter = from.RetryAfter
			}
		}
		return out
	}
	return problem(http.StatusInternalServerError, "internal", "internal error")
}

// ledgerProblem turns a refusal of the ledger into a problem. Errors of the platform pass unchanged.
func ledgerProblem(err error) error {
	var p *Problem
	var from *store.Error
	if errors.As(err, &p) || errors.As(err, &from) {
		return err
	}
	if trace.IsAlreadyExists(err) {
		return problem(http.StatusConflict, "idempotency_conflict", "%s", trace.UserMessage(err))
	}
	return problem(http.StatusConflict, "ledger_refused", "%s", trace.UserMessage(err))
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
