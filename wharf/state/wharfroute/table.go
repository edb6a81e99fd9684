package wharfroute

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Kind says how requests of a route are answered and whether they may be repeated.
type Kind int

// The kinds of routes.
const (
	Idempotent Kind = iota + 1
	AtMostOnce
	Streaming
	Batch
)

// Target is a service that receives part of a route's requests, by weight.
type Target struct {
	Service string
	Weight  float64
}

// Route leads requests of one host name and path prefix to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time to the end of the answer, 0 for none
	Objective        time.Duration // time to the first event, or to the answer, that callers expect
	GapObjective     time.Duration // longest pause between two events that callers expect
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int // endpoints that may run one request
	Open             bool
	Resumable        bool
	CompletionTarget time.Duration // batch: from submission to the last result
	MaxWait          time.Duration // batch: from submission until an item may be given up
	MaxWaitingTokens int64         // batch: of one organisation, 0 for no limit
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService returns a service of the route, drawn by weight.
func (r *Route) PickService() string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	drawn := rand.Float64() * total
	for _, t := range r.Targets {
		if drawn -= t.Weight; drawn < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Organisation is a customer with its limit over all hosts.
type Organisation struct {
	Name     string
	Rate     float64 // requests a second, 0 for no limit
	Burst    float64 // requests
	Priority int     // goes before the route's if HasPriority
	// HasPriority reports whether the organisation has a priority of its own.
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // to one endpoint, from all hosts together
}

// Configuration is the content of a table.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Keys          map[string]string // key to organisation
	Limits        Limits
}

// Table is an indexed configuration that never changes.
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

// add indexes a route; of two that match the same requests, or bear the same name, the first counts.
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

// Find returns the route with the longest prefix of path for a host name, or nil. Prefixes end with a slash, so that the
// cost grows with the depth of the path and not with the number of routes.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.prefixes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// HostRoutes returns the routes of a host name.
func (t *Table) HostRoutes(host string) []*Route {
	return t.hosts[host]
}

// RouteByName returns the route of a name, or nil.
func (t *Table) RouteByName(name string) *Route {
	return t.names[name]
}

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Organisation returns the organisation of a name, or nil.
func (t *Table) Organisation(name string) *Organisation {
	return t.organisations[name]
}

// KeyOwner returns the organisation that holds a key, or nil.
func (t *Table) KeyOwner(key string) *Organisation {
	name, known := t.Keys[key]
	if !known {
		return nil
	}
	return t.organisations[name]
}

// RequiresKey reports whether callers need keys.
func (t *Table) RequiresKey() bool {
	return len(t.Organisations) > 0
}
