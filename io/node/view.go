package node

import (
	"net/http"
	"net/url"
	"slices"
	"sort"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// view is an immutable snapshot of the configuration. The control goroutine replaces it; traffic goroutines read it.
type view struct {
	orgs      map[ident.OrgID]object.Organisation
	apiKeys   map[string]orgAPIKey // by SHA-256 of the secret
	budgets   map[ident.BudgetID]object.Budget
	targets   map[ident.TargetID]object.Target
	versions  map[ident.VersionID]object.Version
	services  map[ident.ServiceID]*serviceRoutes
	releases  map[ident.ReleaseID]object.Release
	outcomes  map[ident.ReleaseID]object.ReleaseOutcome
	operators map[string]object.Operator // by SHA-256 of the token
	routers   map[ident.RouterID]object.Router
	models    []ident.ModelID
}

// orgAPIKey is an API key with the organisation that it belongs to.
type orgAPIKey struct {
	org ident.OrgID
	key object.APIKey
}

// serviceRoutes is a plain service with a matcher for its routes.
type serviceRoutes struct {
	service object.Service
	mux     *http.ServeMux
}

// routeHandler represents a route in a matcher. It serves nothing.
type routeHandler struct{ route object.ServiceRoute }

func (routeHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}

// route returns the route of a call, or false if the service has none for it.
func (s *serviceRoutes) route(method, path string) (object.ServiceRoute, bool) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return object.ServiceRoute{}, false
	}
	h, _ := s.mux.Handler(&http.Request{Method: method, URL: u})
	handler, ok := h.(routeHandler)
	return handler.route, ok
}

func newServiceRoutes(s object.Service) (routes *serviceRoutes, err error) {
	routes = &serviceRoutes{service: s, mux: http.NewServeMux()}
	defer func() {
		// ServeMux panics on a pattern that is malformed or registered twice.
		if v := recover(); v != nil {
			err = ErrBadObject
		}
	}()
	for _, r := range s.Routes {
		routes.mux.Handle(r.Method+" "+r.Path, routeHandler{r})
	}
	return routes, nil
}

func newView() *view {
	return &view{
		orgs:      make(map[ident.OrgID]object.Organisation),
		apiKeys:   make(map[string]orgAPIKey),
		budgets:   make(map[ident.BudgetID]object.Budget),
		targets:   make(map[ident.TargetID]object.Target),
		versions:  make(map[ident.VersionID]object.Version),
		services:  make(map[ident.ServiceID]*serviceRoutes),
		releases:  make(map[ident.ReleaseID]object.Release),
		outcomes:  make(map[ident.ReleaseID]object.ReleaseOutcome),
		operators: make(map[string]object.Operator),
		routers:   make(map[ident.RouterID]object.Router),
	}
}

// addObject puts the usable form of an object into the view.
func (v *view) addObject(d decoded) {
	switch o := d.value.(type) {
	case *object.Organisation:
		v.addOrg(*o)
	case *object.Budget:
		v.budgets[o.ID] = *o
	case *object.Target:
		v.targets[o.ID] = *o
	case *object.Version:
		v.versions[o.ID] = *o
	case *object.Service:
		v.services[o.ID] = d.service
	case *object.Release:
		v.releases[o.ID] = *o
	case *object.ReleaseOutcome:
		v.outcomes[o.Release] = *o
	case *object.Operator:
		v.operators[o.SHA256] = *o
	case *object.Router:
		v.routers[o.ID] = *o
	}
}

func (v *view) addOrg(o object.Organisation) {
	v.orgs[o.ID] = o
	for _, k := range o.Keys {
		if !k.Revoked && !o.Disabled {
			v.apiKeys[k.SHA256] = orgAPIKey{org: o.ID, key: k}
		}
	}
}

// deriveModels lists the models of the versions that are not withdrawn.
func (v *view) deriveModels() {
	seen := make(map[ident.ModelID]bool)
	for _, ver := range v.versions {
		if !ver.Withdrawn && ver.Model != "" && !seen[ver.Model] {
			seen[ver.Model] = true
			v.models = append(v.models, ver.Model)
		}
	}
	sort.Slice(v.models, func(i, j int) bool { return v.models[i] < v.models[j] })
}

// hasModel reports whether the model has a version that is not withdrawn.
func (v *view) hasModel(m ident.ModelID) bool { return slices.Contains(v.models, m) }

// inPool reports whether a target belongs to a pool.
func (v *view) inPool(t object.Target, k target.Key) bool {
	if k.Service != "" {
		return t.Service == k.Service
	}
	for _, id := range t.Versions {
		if v.versions[id].Model == k.Model {
			return true
		}
	}
	return false
}

// domainsOf returns the failure domains in which an active target has a version.
func (v *view) domainsOf(id ident.VersionID) []ident.DomainID {
	var out []ident.DomainID
	for _, t := range v.targets {
		if t.State == object.TargetActive && slices.Contains(t.Versions, id) && !slices.Contains(out, t.Domain) {
			out = append(out, t.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// objectCount returns the number of objects in the view.
func (v *view) objectCount() int {
	return len(v.orgs) + len(v.budgets) + len(v.targets) + len(v.versions) + len(v.services) + len(v.releases) +
		len(v.outcomes) + len(v.operators) + len(v.routers)
}
