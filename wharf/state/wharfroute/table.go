package wharfroute

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wagtailwharf.example/wharf/state/wharfregion"
)

// Kind is the kind of a route, which determines how its requests are answered and whether they may be retried.
type Kind int

// Kinds of routes.
const (
	Idempotent Kind = iota + 1
	AtMostOnce
	Streaming
	Batch
)

// Target is a service that receives a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  float64
}

// Route maps requests with a host name and path prefix to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // limit until the end of the response, 0 for none
	Objective        time.Duration // target latency of the first event, or of the whole response
	GapObjective     time.Duration // target for the longest gap between two events
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int           // maximum number of endpoints that may run one request
	Open             bool          // needs no API key
	Resumable        bool          // a stream that breaks may continue at another endpoint
	CompletionTarget time.Duration // batch only: target from submission to the last result
	MaxWait          time.Duration // batch only: time from submission after which an item may be given up
	MaxWaitingTokens int64         // batch only: limit per organisation, 0 for none
	AllowedRegions   []string      // regions in which requests may run, none for all
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickService returns a target service of the route, chosen at random by weight, or "" if the route has no targets.
func (r *Route) PickService() string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := rand.Float64() * total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Organisation is a tenant with its rate limit over all hosts.
type Organisation struct {
	Name     string
	Rate     float64 // requests a second, 0 for no limit
	Burst    float64 // requests
	Priority int     // overrides the route's if HasPriority is set
	// HasPriority reports whether Priority is set.
	HasPriority    bool
	AllowedRegions []string // regions in which its requests may run, none for all
}

// Regions returns the regions in which requests of a route and an organisation, which may be nil, may run: those that both
// allow. It returns nil for all regions, and an empty list if there is none.
func Regions(r *Route, o *Organisation) []string {
	if o == nil {
		return wharfregion.Common(r.AllowedRegions, nil)
	}
	return wharfregion.Common(r.AllowedRegions, o.AllowedRegions)
}

// Limits are the limits of requests and connections of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // to one endpoint from all hosts together
	// ColdPerSecond is the number of requests per second from all hosts that a cold endpoint tolerates, 0 for no limit.
	ColdPerSecond float64
	ColdStart     time.Duration // how long an endpoint is cold after its start
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Keys          map[string]string // organisation names by key
	Limits        Limits
}

// Table is an immutable, indexed configuration.
type Table struct {
	Configuration
	hosts         map[string][]*Route
	prefixes      map[string]map[string]*Route // by host name and path prefix
	names         map[string]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
}

// New indexes a configuration.
func New(configuration Configuration) *Table {
	t := &Table{
		Configuration: configuration,
		hosts:         map[string][]*Route{},
		prefixes:      map[string]map[string]*Route{},
		names:         map[string]*Route{},
		services:      map[string]*Service{},
		organisations: map[string]*Organisation{},
	}
	for i := range t.Routes {
		t.add(&t.Routes[i])
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Organisations {
		t.organisations[t.Organisations[i].Name] = &t.Organisations[i]
	}
	return t
}

// add indexes a route. If two routes match the same requests or have the same name, the first takes precedence.
func (t *Table) add(r *Route) {
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	if t.prefixes[r.Host] == nil {
		t.prefixes[r.Host] = map[string]*Route{}
	}
	if t.prefixes[r.Host][r.PathPrefix] == nil {
		t.prefixes[r.Host][r.PathPrefix] = r
	}
	if t.names[r.Name] == nil {
		t.names[r.Name] = r
	}
}

// Find returns the route of a host name with the longest prefix of path, or nil. Prefixes end with a slash, so the cost
// grows with the depth of the path rather than with the number of routes.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.prefixes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// HostRoutes returns the routes of a host name in the order of the configuration.
func (t *Table) HostRoutes(host string) []*Route {
	return t.hosts[host]
}

// RouteByName returns the route with a name, or nil.
func (t *Table) RouteByName(name string) *Route {
	return t.names[name]
}

// BatchRoute returns the route of a batch job that was accepted on the route with a name, under a host name and path prefix: the
// route of that name or, if it no longer takes batch jobs, the one that takes those of the same host name and path prefix. It
// returns nil if there is none.
func (t *Table) BatchRoute(name, host, prefix string) *Route {
	if r := t.names[name]; r != nil && r.Kind == Batch {
		return r
	}
	if r := t.Find(host, prefix); r != nil && r.Kind == Batch {
		return r
	}
	return nil
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Organisation returns the organisation with a name, or nil.
func (t *Table) Organisation(name string) *Organisation {
	return t.organisations[name]
}

// KeyOwner returns the organisation to which an API key belongs, or nil.
func (t *Table) KeyOwner(key string) *Organisation {
	name, known := t.Keys[key]
	if !known {
		return nil
	}
	return t.organisations[name]
}

// RequiresKey reports whether requests need an API key, which is the case if any organisation is configured.
func (t *Table) RequiresKey() bool {
	return len(t.Organisations) > 0
}
