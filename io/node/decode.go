package node

import (
	"encoding/json"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// objectConstructors holds a constructor of an empty object for each configuration kind.
var objectConstructors = map[object.Kind]func() object.Value{
	object.KindOrganisation: func() object.Value { return new(object.Organisation) },
	object.KindBudget:       func() object.Value { return new(object.Budget) },
	object.KindTarget:       func() object.Value { return new(object.Target) },
	object.KindVersion:      func() object.Value { return new(object.Version) },
	object.KindService:      func() object.Value { return new(object.Service) },
	object.KindRelease:      func() object.Value { return new(object.Release) },
	object.KindOutcome:      func() object.Value { return new(object.ReleaseOutcome) },
	object.KindOperator:     func() object.Value { return new(object.Operator) },
	object.KindRouter:       func() object.Value { return new(object.Router) },
}

// decoded is the last usable form of an object. Its value is nil if no version of the object could be used.
type decoded struct {
	version ident.ObjectVersion
	value   object.Value
	service *serviceRoutes // of a plain service
}

// decoder caches the decoded form of each object, because decoding 31,000 organisations takes 100 times as long as
// copying them. It belongs to the control goroutine.
type decoder struct {
	cache map[object.Key]decoded
}

func newDecoder() *decoder { return &decoder{cache: make(map[object.Key]decoded)} }

// decode returns the usable form of an object. If the newest version cannot be used, it returns ErrBadObject once,
// and the last usable form from then on.
func (d *decoder) decode(o config.Object) (decoded, error) {
	cached := d.cache[o.Key()]
	if cached.version == o.Version {
		return cached, nil
	}
	next, err := decodeObject(o)
	if err != nil {
		next.value, next.service = cached.value, cached.service
	}
	d.cache[o.Key()] = next
	return next, err
}

func decodeObject(o config.Object) (decoded, error) {
	out := decoded{version: o.Version}
	v := objectConstructors[o.Kind]()
	if json.Unmarshal(o.Value, v) != nil || v.Validate().Err() != nil {
		return out, ErrBadObject
	}
	if s, ok := v.(*object.Service); ok {
		routes, err := newServiceRoutes(*s)
		if err != nil {
			return out, err
		}
		out.service = routes
	}
	out.value = v
	return out, nil
}

// prune drops the objects that the configuration no longer has, once they outnumber the present ones.
func (d *decoder) prune(objects *config.Store) {
	present := 0
	for _, s := range objects.Status() {
		present += s.Objects
	}
	if len(d.cache) <= 2*present+len(objectConstructors) {
		return
	}
	for k := range d.cache {
		if _, ok := objects.Get(k); !ok {
			delete(d.cache, k)
		}
	}
}
