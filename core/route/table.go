package route

import (
	"net"
	"sort"
	"strings"

	"geraniumsaddle/core/ident"
)

// Table looks up the routes, services and organisations of one configuration.
type Table struct {
	cfg      Config
	byHost   map[string][]*Route // longest prefix first
	services map[ident.ServiceID]*Service
	byKey    map[string]*Org
	byID     map[ident.OrgID]*Org
}

// New returns the table of a configuration. The table keeps references into cfg, which must not change afterwards.
func New(cfg Config) *Table {
	t := &Table{
		cfg:      cfg,
		byHost:   make(map[string][]*Route),
		services: make(map[ident.ServiceID]*Service, len(cfg.Services)),
		byKey:    make(map[string]*Org),
		byID:     make(map[ident.OrgID]*Org, len(cfg.Orgs)),
	}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.cfg.Services {
		t.services[t.cfg.Services[i].ID] = &t.cfg.Services[i]
	}
	for i := range t.cfg.Orgs {
		t.byID[t.cfg.Orgs[i].ID] = &t.cfg.Orgs[i]
		for _, key := range t.cfg.Orgs[i].Keys {
			t.byKey[key] = &t.cfg.Orgs[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.cfg.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Orgs returns the organisations. The caller must not change them.
func (t *Table) Orgs() []Org { return t.cfg.Orgs }

// Org returns the organisation with the given ID, or nil.
func (t *Table) Org(id ident.OrgID) *Org { return t.byID[id] }

// Services returns the services. The caller must not change them.
func (t *Table) Services() []Service { return t.cfg.Services }

// Match returns the route of the host with the longest matching path prefix, or nil. The host is not case-sensitive and
// may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given ID, or nil.
func (t *Table) Service(id ident.ServiceID) *Service { return t.services[id] }

// RequiresKey reports whether requests need an API key.
func (t *Table) RequiresKey() bool { return len(t.cfg.Orgs) > 0 }

// OrgByKey returns the organisation that holds an API key, or nil.
func (t *Table) OrgByKey(key string) *Org { return t.byKey[key] }

// PickService returns the service for a request according to the weights. random must be uniform and drawn per request.
// If all weights are zero, it returns the first service.
func (r *Route) PickService(random uint64) ident.ServiceID {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return r.Splits[0].Service
	}
	remainder := int(random % uint64(total))
	for _, s := range r.Splits {
		if remainder < s.Weight {
			return s.Service
		}
		remainder -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
