package admin

import (
	"fmt"

	"geraniumsaddle/core/object"
)

// collection describes a kind of object that operators read and replace as a whole.
type collection struct {
	name Collection
	kind object.Kind
	// newObject returns an empty object of the kind.
	newObject func() object.Value
}

// Collection is the name of a collection in API paths.
type Collection string

// collections lists the collections that are served under /admin/v1/.
var collections = []collection{
	{"organisations", object.KindOrganisation, func() object.Value { return new(object.Organisation) }},
	{"budgets", object.KindBudget, func() object.Value { return new(object.Budget) }},
	{"targets", object.KindTarget, func() object.Value { return new(object.Target) }},
	{"versions", object.KindVersion, func() object.Value { return new(object.Version) }},
	{"services", object.KindService, func() object.Value { return new(object.Service) }},
	{"releases", object.KindRelease, func() object.Value { return new(object.Release) }},
	{"operators", object.KindOperator, func() object.Value { return new(object.Operator) }},
}

// Collections returns the names of all collections.
func Collections() []Collection {
	out := make([]Collection, 0, len(collections))
	for _, c := range collections {
		out = append(out, c.name)
	}
	return out
}

// Decode decodes and validates an object of a collection. On failure it returns a *Problem; if fields are invalid, it
// lists all of them.
func Decode(name Collection, raw []byte) (object.Value, error) {
	for _, c := range collections {
		if c.name == name {
			o, faults, err := c.decode(raw)
			if err == nil && len(faults) > 0 {
				err = invalidFields(faults)
			}
			return o, err
		}
	}
	return nil, newProblem(404, "not_found", "there is no collection %q", name)
}

// decode decodes an object strictly and validates it. It returns the faults of both steps.
func (c collection) decode(raw []byte) (object.Value, object.Faults, error) {
	o := c.newObject()
	faults, err := decodeStrict(raw, o)
	if err != nil {
		return nil, nil, err
	}
	return o, mergeFaults(faults, o.Validate()), nil
}

// decodeNamedObject decodes and validates an object whose ID must equal the name in the request path.
func decodeNamedObject(c collection, name string, raw []byte) (object.Value, error) {
	o, faults, err := c.decode(raw)
	if err != nil {
		return nil, err
	}
	if o.Key().Name != name {
		faults = mergeFaults(faults, object.Faults{{Path: "id", Message: fmt.Sprintf("must be %q as in the path", name)}})
	}
	if len(faults) > 0 {
		return nil, invalidFields(faults)
	}
	return o, nil
}
