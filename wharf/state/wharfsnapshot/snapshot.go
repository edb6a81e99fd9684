package wharfsnapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Snapshot is one version of the configuration with its indexes. It is immutable after Build.
type Snapshot struct {
	Version       uint64
	Hash          string
	Text          []byte
	Bundle        *wharfconfig.Bundle
	Organisations map[string]*Organisation
	Services      map[string]*Service
	keysByHash    map[string]*Key // by SHA-256 of the key in hexadecimal digits
	keyIDs        map[string]bool // IDs of all valid keys
}

// Organisation is an organisation with each zone's share of its rate and burst.
type Organisation struct {
	wharfconfig.Organisation
	ZoneShares map[string]float64
}

// Key is an API key without its secret text.
type Key struct {
	ID           string
	Organisation *Organisation
}

// Service is a service with its endpoints.
type Service struct {
	wharfconfig.Service
	Endpoints []wharfconfig.Endpoint
}

// Build indexes a valid bundle that was accepted as a version. text is the text of the bundle.
func Build(version uint64, text []byte, bundle *wharfconfig.Bundle) *Snapshot {
	s := &Snapshot{
		Version:       version,
		Hash:          wharfconfig.Hash(text),
		Text:          text,
		Bundle:        bundle,
		Organisations: map[string]*Organisation{},
		Services:      map[string]*Service{},
		keysByHash:    map[string]*Key{},
		keyIDs:        map[string]bool{},
	}
	for _, o := range bundle.Organisations {
		s.Organisations[o.Name] = &Organisation{Organisation: o, ZoneShares: bundle.ZoneShares(&o)}
	}
	for _, k := range bundle.Keys {
		s.keyIDs[k.ID] = true
		s.keysByHash[strings.ToLower(k.Hash)] = &Key{ID: k.ID, Organisation: s.Organisations[k.Organisation]}
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

// FindKey returns the API key that matches a bearer token, or nil.
func (s *Snapshot) FindKey(token string) *Key {
	sum := sha256.Sum256([]byte(token))
	return s.keysByHash[hex.EncodeToString(sum[:])]
}

// HasKey reports whether a key with this ID is valid.
func (s *Snapshot) HasKey(id string) bool {
	return s.keyIDs[id]
}

// Model returns the model service with a name, or nil.
func (s *Snapshot) Model(name string) *Service {
	service := s.Services[name]
	if service == nil || service.Kind != wharfconfig.KindModel {
		return nil
	}
	return service
}

// Route returns the route of the service with the longest prefix of path, or nil.
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
