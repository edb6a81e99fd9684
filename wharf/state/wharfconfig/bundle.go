package wharfconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/gravitational/trace"
	"wagtailwharf.example/wharf/state/wharftoml"
)

// ErrInvalid means that a bundle is not a valid configuration.
var ErrInvalid = errors.New("invalid configuration bundle")

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Bundle is a complete configuration.
type Bundle struct {
	Zones         []Zone         `toml:"zone" json:"zone"`
	Organisations []Organisation `toml:"organisation" json:"organisation"`
	Keys          []Key          `toml:"key" json:"key"`
	Services      []Service      `toml:"service" json:"service"`
	Endpoints     []Endpoint     `toml:"endpoint" json:"endpoint"`
}

// Zone is an availability zone. Share is its weight in the division of every organisation's rate and burst; 0 stands
// for 1.
type Zone struct {
	Name   string  `toml:"name" json:"name"`
	Region string  `toml:"region" json:"region"`
	Share  float64 `toml:"share" json:"share"`
}

// Organisation is a tenant with its rate in requests per second, its burst in requests and its queue weight.
type Organisation struct {
	Name   string  `toml:"name" json:"name"`
	Rate   float64 `toml:"rate" json:"rate"`
	Burst  float64 `toml:"burst" json:"burst"`
	Weight float64 `toml:"weight" json:"weight"`
}

// Key is an API key. Only the hexadecimal SHA-256 of its text is stored.
type Key struct {
	ID           string `toml:"id" json:"id"`
	Organisation string `toml:"organisation" json:"organisation"`
	Hash         string `toml:"sha256" json:"sha256"`
}

// Service is a model or plain service that a set of endpoints provides.
type Service struct {
	Name    string  `toml:"name" json:"name"`
	Kind    string  `toml:"kind" json:"kind"`
	Version string  `toml:"model-version" json:"model-version"`
	Routes  []Route `toml:"route" json:"route"`
}

// Route is a path prefix of a plain service. Open routes need no key, and requests of repeatable routes may be retried.
type Route struct {
	Path       string `toml:"path" json:"path"`
	Open       bool   `toml:"open" json:"open"`
	Repeatable bool   `toml:"repeatable" json:"repeatable"`
}

// Endpoint is an address that serves requests of a service. Slots is the number of requests that it can run
// concurrently.
type Endpoint struct {
	Name         string `toml:"name" json:"name"`
	Service      string `toml:"service" json:"service"`
	Zone         string `toml:"availability-zone" json:"availability-zone"`
	URL          string `toml:"url" json:"url"`
	Slots        int    `toml:"slots" json:"slots"`
	ChecksFences bool   `toml:"checks-fences" json:"checks-fences"`
	Leaving      bool   `toml:"leaving" json:"leaving"`
}

// Parse decodes and validates a TOML bundle. The error for an unknown key names its line.
func Parse(text []byte) (*Bundle, error) {
	var bundle Bundle
	if err := wharftoml.Decode(text, &bundle, ErrInvalid); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := bundle.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &bundle, nil
}

// Hash returns the hexadecimal SHA-256 of a bundle's text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Validate sets defaults and returns all violations of the rules, joined under ErrInvalid.
func (b *Bundle) Validate() error {
	var problems []error
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	zones := b.validateZones(report)
	organisations := b.validateOrganisations(report)
	b.validateKeys(report, organisations)
	services := b.validateServices(report)
	b.validateEndpoints(report, zones, services)
	if len(problems) == 0 {
		return nil
	}
	return trace.Wrap(fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...)))
}

func (b *Bundle) validateZones(report func(string, ...any)) map[string]bool {
	names := map[string]bool{}
	for i := range b.Zones {
		z := &b.Zones[i]
		checkName(report, "availability zone", z.Name, names)
		if z.Share < 0 {
			report("availability zone %q: share %v is negative", z.Name, z.Share)
		}
	}
	if len(names) == 0 {
		report("no availability zone")
	}
	return names
}

func (b *Bundle) validateOrganisations(report func(string, ...any)) map[string]bool {
	names := map[string]bool{}
	for i := range b.Organisations {
		o := &b.Organisations[i]
		checkName(report, "organisation", o.Name, names)
		if o.Rate <= 0 || o.Burst < 1 {
			report("organisation %q: rate must be above 0 and burst at least 1", o.Name)
		}
		if o.Weight == 0 {
			o.Weight = 1
		}
		if o.Weight < 0 {
			report("organisation %q: weight %v is negative", o.Name, o.Weight)
		}
	}
	return names
}

func (b *Bundle) validateKeys(report func(string, ...any), organisations map[string]bool) {
	ids := map[string]bool{}
	hashes := map[string]bool{}
	for _, k := range b.Keys {
		checkName(report, "key", k.ID, ids)
		if !organisations[k.Organisation] {
			report("key %q: unknown organisation %q", k.ID, k.Organisation)
		}
		if raw, err := hex.DecodeString(k.Hash); err != nil || len(raw) != sha256.Size {
			report("key %q: sha256 must be 64 hexadecimal digits", k.ID)
		}
		if hashes[k.Hash] {
			report("key %q: the same key stands twice", k.ID)
		}
		hashes[k.Hash] = true
	}
}

func (b *Bundle) validateServices(report func(string, ...any)) map[string]bool {
	names := map[string]bool{}
	for _, s := range b.Services {
		checkName(report, "service", s.Name, names)
		if s.Kind != KindModel && s.Kind != KindPlain {
			report("service %q: kind must be %q or %q", s.Name, KindModel, KindPlain)
		}
		for _, r := range s.Routes {
			if !strings.HasPrefix(r.Path, "/") {
				report("service %q: route path %q must start with /", s.Name, r.Path)
			}
		}
	}
	return names
}

func (b *Bundle) validateEndpoints(report func(string, ...any), zones, services map[string]bool) {
	names := map[string]bool{}
	for _, e := range b.Endpoints {
		checkName(report, "endpoint", e.Name, names)
		if !zones[e.Zone] {
			report("endpoint %q: unknown availability zone %q", e.Name, e.Zone)
		}
		if !services[e.Service] {
			report("endpoint %q: unknown service %q", e.Name, e.Service)
		}
		if u, err := url.Parse(e.URL); err != nil || u.Scheme == "" || u.Host == "" {
			report("endpoint %q: url %q is not absolute", e.Name, e.URL)
		}
		if e.Slots < 1 {
			report("endpoint %q: slots must be at least 1", e.Name)
		}
	}
}

// checkName reports a name that is empty, contains a separator or was seen before, and adds it to seen.
func checkName(report func(string, ...any), kind, name string, seen map[string]bool) {
	if name == "" || strings.ContainsAny(name, "/ \t\n\"") {
		report("%s: bad name %q", kind, name)
	}
	if seen[name] {
		report("%s %q stands twice", kind, name)
	}
	seen[name] = true
}
