package admin

import (
	"fmt"

	"geraniumsaddle/core/object"
)

// collection is a kind of objects that operators read and change whole.
type collection struct {
	path Collection
	kind object.Kind
	// new returns an empty object of the kind.
	new func() object.Value
}

// Collection is the name of a collection of objects in the paths of the API.
type Collection string

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

// Collections returns the names of the collections.
func Collections() []Collection {
	out := make([]Collection, 0, len(collections))
	for _, c := range collections {
		out = append(out, c.path)
	}
	return out
}

// Decode decodes an object of a collection and returns a *Problem that names every fault.
func Decode(name Collection, raw []byte) (object.Value, error) {
	for _, c := range collections {
		if c.path == name {
			o, faults, err := c.decode(raw)
			if err == nil && len(faults) > 0 {
				err = invalid(faults)
			}
			return o, err
		}
	}
	return nil, problem(404, "not_found", "there is no collection %q", name)
}

// decode decodes an object strictly and validates it.
func (c collection) decode(raw []byte) (object.Value, object.Faults, error) {
	o := c.new()
	faults, err := decodeStrict(raw, o)
	if err != nil {
		return nil, nil, err
	}
	return o, join(faults, o.Validate()), nil
}

// decodeObject decodes and validates the object that a path names.
func decodeObject(c collection, name string, raw []byte) (object.Value, error) {
	o, faults, err := c.decode(raw)
	if err != nil {
		return nil, err
	}
	if o.Key().Name != name {
		faults = join(faults, object.Faults{{Path: "id", Message: fmt.Sprintf("must be %q as in the path", name)}})
	}
	if len(faults) > 0 {
		return nil, invalid(faults)
	}
	return o, nil
}
