package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"geraniumsaddle/core/object"
)

// collection is a kind of objects that operators read and change whole.
type collection struct {
	path string
	kind object.Kind
	// new returns an empty object of the kind.
	new func() object.Value
}

// collections are served under /admin/v1/.
var collections = []collection{
	{"organisations", object.KindOrganisation, func() object.Value { return new(object.Organisation) }},
	{"budgets", object.KindBudget, func() object.Value { return new(object.Budget) }},
	{"targets", object.KindTarget, func() object.Value { return new(object.Target) }},
	{"versions", object.KindVersion, func() object.Value { return new(object.Version) }},
	{"services", object.KindService, func() object.Value { return new(object.Service) }},
	{"releases", object.KindRelease, func() object.Value { return new(object.Release) }},
	{"operators", object.KindOperator, func() object.Value { return new(object.Operator) }},
}

// decodeObject decodes and validates the object that a path names.
func decodeObject(c collection, name string, raw []byte) (object.Value, error) {
	o := c.new()
	if err := decodeStrict(raw, o); err != nil {
		return nil, err
	}
	faults := o.Validate()
	if o.Key().Name != name {
		faults = append(faults, object.Fault{Path: "id", Message: fmt.Sprintf("must be %q as in the path", name)})
	}
	if len(faults) > 0 {
		return nil, invalid(faults)
	}
	return o, nil
}

// decodeStrict refuses unknown fields, since an operator's misspelt field would be lost without notice.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return problem(400, "malformed", "the body is not valid: %s", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return problem(400, "malformed", "the body has data after the JSON value")
	}
	return nil
}
