package admin

import (
	"net/http"
	"strconv"
	"strings"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/store"
)

// precondition is the version of an object that a change demands. Version zero demands that there is no object.
type precondition struct {
	version ident.ObjectVersion
	// named says that the request names the version. Without a name the change may only make a new object.
	named bool
}

func (p precondition) cond() store.Condition { return store.Match(p.version) }

// check compares the demanded version with the current one.
func (p precondition) check(current ident.ObjectVersion) error {
	if p.version == current {
		return nil
	}
	if !p.named {
		out := problem(http.StatusPreconditionRequired, "version_required",
			"the object exists with version %d; a change must name its version in If-Match", current)
		out.Version = current
		return out
	}
	return stale(current)
}

// readPrecondition reads the headers If-Match and If-None-Match.
func readPrecondition(h http.Header) (precondition, error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return precondition{}, problem(http.StatusBadRequest, "malformed", "If-Match and If-None-Match exclude each other")
	case match != "":
		v, ok := parseVersion(match)
		if !ok {
			return precondition{}, problem(http.StatusBadRequest, "malformed", `If-Match must be an object version such as "17"`)
		}
		return precondition{version: v, named: true}, nil
	case none == "*":
		return precondition{named: true}, nil
	case none != "":
		return precondition{}, problem(http.StatusBadRequest, "malformed", "If-None-Match must be *")
	}
	return precondition{}, nil
}

// parseVersion reads an object version with or without the quotes of an ETag.
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
