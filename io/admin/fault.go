package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// Problem is a refusal by the administration API.
type Problem struct {
	Status     int           `json:"-"`
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Faults     object.Faults `json:"faults,omitempty"`
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code, the message and the faults.
func (p *Problem) Error() string {
	if len(p.Faults) > 0 {
		return p.Code + ": " + p.Faults.Error()
	}
	return p.Code + ": " + p.Message
}

type problemBody struct {
	Error *Problem `json:"error"`
}

func problem(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

func invalid(faults object.Faults) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: "invalid", Message: "the object has invalid fields", Faults: faults}
}

// storeRow gives the answer for a kind of platform error.
type storeRow struct {
	kind   error
	status int
	code   string
}

var storeTable = []storeRow{
	{store.ErrConflict, http.StatusPreconditionFailed, "stale_version"},
	{store.ErrAbsent, http.StatusNotFound, "not_found"},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{store.ErrLimited, http.StatusServiceUnavailable, "platform_limited"},
	{store.ErrUnknown, http.StatusGatewayTimeout, "outcome_unknown"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "platform_unavailable"},
}

const platformRetry = 2 * time.Second

// asProblem turns an error of a lower layer into a problem.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	for _, row := range storeTable {
		if errors.Is(err, row.kind) {
			out := problem(row.status, row.code, "%s", row.kind.Error())
			if row.status == http.StatusServiceUnavailable {
				out.RetryAfter = platformRetry
			}
			return out
		}
	}
	return problem(http.StatusInternalServerError, "internal", "internal error")
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(p.RetryAfter.Seconds())))
	}
	writeJSON(w, p.Status, problemBody{p})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
