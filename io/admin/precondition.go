package admin

import (
	"net/http"
	"strconv"
	"strings"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/store"
)

// requestPrecondition is the object version that a change requires. Version zero requires that the object does not
// exist.
type requestPrecondition struct {
	version ident.ObjectVersion
	// explicit reports whether the request has If-Match or If-None-Match. Without them, a change may only create an
	// object.
	explicit bool
}

func (p requestPrecondition) condition() store.Condition { return store.Match(p.version) }

// check returns a problem if the current version is not the required one.
func (p requestPrecondition) check(current ident.ObjectVersion) error {
	if p.version == current {
		return nil
	}
	if !p.explicit {
		out := newProblem(http.StatusPreconditionRequired, "version_required",
			"the object exists with version %d; a change must name its version in If-Match", current)
		out.Version = current
		return out
	}
	return staleVersion(current)
}

// parsePrecondition parses the If-Match and If-None-Match headers.
func parsePrecondition(h http.Header) (requestPrecondition, error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return requestPrecondition{}, newProblem(http.StatusBadRequest, "malformed", "If-Match and If-None-Match exclude each other")
	case match != "":
		v, ok := parseVersion(match)
		if !ok {
			return requestPrecondition{}, newProblem(http.StatusBadRequest, "malformed", `If-Match must be an object version such as "17"`)
		}
		return requestPrecondition{version: v, explicit: true}, nil
	case none == "*":
		return requestPrecondition{explicit: true}, nil
	case none != "":
		return requestPrecondition{}, newProblem(http.StatusBadRequest, "malformed", "If-None-Match must be *")
	}
	return requestPrecondition{}, nil
}

// parseVersion parses an object version with or without ETag quotes.
func parseVersion(s string) (ident.ObjectVersion, bool) {
	if len(s) > 2 && strings.HasPrefix(s, `"`) && strings.HasSuffix(s, `"`) {
		s = s[1 : len(s)-1]
	}
	v, err := strconv.ParseUint(s, 10, 64)
	return ident.ObjectVersion(v), err == nil && v != 0
}

func etag(v ident.ObjectVersion) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}
