package wharfsnapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Snapshot is one configuration version, indexed for traffic and never changed after Build.
type Snapshot struct {
	Version       uint64
	Hash          string
	Text          []byte
	Bundle        *wharfconfig.Bundle
	Organisations map[string]*Organisation
	Services      map[string]*Service
	keys          map[string]*Key // by hash
	granted       map[string]bool // by id
}

// Organisation is an organisation and its shares of rate and burst by zone.
type Organisation struct {
	wharfconfig.Organisation
	ZoneShares map[string]float64
}

// Key is a caller's key, without its text.
type Key struct {
	ID           string
	Organisation *Organisation
}

// Service is a service and its endpoints.
type Service struct {
	wharfconfig.Service
	Endpoints []wharfconfig.Endpoint
}

// Build indexes a bundle that was accepted as version.
func Build(version uint64, text []byte, bundle *wharfconfig.Bundle) *Snapshot {
	s := &Snapshot{
		Version:       version,
		Hash:          wharfconfig.Hash(text),
		Text:          text,
		Bundle:        bundle,
		Organisations: map[string]*Organisation{},
		Services:      map[string]*Service{},
		keys:          map[string]*Key{},
		granted:       map[string]bool{},
	}
	for _, o := range bundle.Organisations {
		s.Organisations[o.Name] = &Organisation{Organisation: o, ZoneShares: bundle.ZoneShares(&o)}
	}
	for _, k := range bundle.Keys {
		s.granted[k.ID] = true
		s.keys[strings.ToLower(k.Hash)] = &Key{ID: k.ID, Organisation: s.Organisations[k.Organisation]}
	}
	for _, service := range bundle.Services {
		s.Services[service.Name] = &Service{Service: service}
	}
	for _, e := range bundle.Endpoints {
		service := s.Services[e.Service]
		service.Endpoints = append(service.Endpoints, e)
	}
	return s
}

// FindKey returns the key that a bearer token is, or nil.
func (s *Snapshot) FindKey(token string) *Key {
	sum := sha256.Sum256([]byte(token))
	return s.keys[hex.EncodeToString(sum[:])]
}

// HasKey reports whether a key id is still granted.
func (s *Snapshot) HasKey(id string) bool {
	return s.granted[id]
}

// Model returns the model service of a name, or nil.
func (s *Snapshot) Model(name string) *Service {
	service := s.Services[name]
	if service == nil || service.Kind != wharfconfig.KindModel {
		return nil
	}
	return service
}

// Route returns the longest route of the service that is a prefix of path, or nil.
func (s *Service) Route(path string) *wharfconfig.Route {
	var best *wharfconfig.Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}
