package wharfoperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfzone"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const maxRequestBytes = 64 << 20

// Options are a server's dependencies.
type Options struct {
	Token   string
	Ready   func() error // nil if this host can accept requests
	Drain   func()
	Storage wharfstorage.Storage
	Member  *wharfmember.Member
	Rollout *wharfrollout.Rollout
	Picker  *wharfpick.Picker
	Metrics *wharfmetrics.Metrics
	Vars    func() map[string]any
}

// Server is the HTTP handler of the operators' interface.
type Server struct {
	options Options
	mux     *http.ServeMux
}

// New returns a server with its routes registered.
func New(options Options) *Server {
	s := &Server{options: options, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz",
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /debug/vars", s.handle(s.vars))
	s.mux.HandleFunc("GET /v1/config", s.handle(s.export))
	s.mux.HandleFunc("POST /v1/config", s.handle(s.apply))
	s.mux.HandleFunc("GET /v1/config/history", s.handle(s.history))
	s.mux.HandleFunc("GET /v1/config/status", s.handle(s.status))
	s.mux.HandleFunc("GET /v1/hosts", s.handle(s.hosts))
	s.mux.HandleFunc("POST /v1/hosts/drain", s.handle(s.drain))
	s.mux.HandleFunc("POST /v1/hosts/remove", s.handle(s.remove))
	s.mux.HandleFunc("GET /v1/endpoints", s.handle(s.endpoints))
	s.mux.HandleFunc("GET /v1/latencies", s.handle(s.latencies))
	return s
}

// ServeHTTP serves the operators' interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// handle checks the operators' token and writes the value or error that next returns.
func (s *Server) handle(next func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.options.Token)) != 1 {
			wharfrefusal.New(http.StatusUnauthorized, "bad-operator-token",
				"send the operators' token as Authorization: Bearer TOKEN").Write(w)
			return
		}
		value, err := next(r)
		if err != nil {
			refusalOf(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}

// refusalOf maps errors of lower layers to refusals.
func refusalOf(err error) *wharfrefusal.Refusal {
	switch {
	case errors.Is(err, wharfconfig.ErrInvalid):
		return wharfrefusal.New(http.StatusUnprocessableEntity, "invalid-bundle", trace.Unwrap(err).Error())
	case errors.Is(err, wharfrollout.ErrNotSigned):
		return wharfrefusal.New(http.StatusForbidden, "not-signed", trace.Unwrap(err).Error())
	case errors.Is(err, wharfrollout.ErrStaleParent), errors.Is(err, wharfrow.ErrConflict):
		return wharfrefusal.New(http.StatusConflict, "stale-parent", trace.Unwrap(err).Error())
	case errors.Is(err, wharfrow.ErrUnavailable):
		return wharfrefusal.New(http.StatusServiceUnavailable, "platform-unavailable",
			"the platform's store does not answer; nothing was changed").WithRetryAfter(time.Second)
	case errors.Is(err, wharfrow.ErrUnknown):
		return wharfrefusal.New(http.StatusServiceUnavailable, "outcome-unknown",
			"the store's answer was lost; see config status").MayHaveRun()
	}
	return wharfrefusal.FromError(err)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.options.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) vars(*http.Request) (any, error) {
	return s.options.Vars(), nil
}

func (s *Server) latencies(*http.Request) (any, error) {
	return s.options.Metrics.Summaries(), nil
}

// ExportedConfiguration is a configuration bundle with its original text.
type ExportedConfiguration struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Text    []byte `json:"text"`
}

func (s *Server) export(*http.Request) (any, error) {
	snapshot := s.options.Rollout.Snapshot()
	if snapshot == nil {
		return ExportedConfiguration{}, nil
	}
	return ExportedConfiguration{Version: snapshot.Version, Hash: snapshot.Hash, Text: snapshot.Text}, nil
}

// ApplyRequest asks to apply a signed bundle as the successor of version Parent.
type ApplyRequest struct {
	Parent   uint64              `json:"parent"`
	Operator string              `json:"operator"`
	Signed   wharfrollout.Signed `json:"signed"`
}

func (s *Server) apply(r *http.Request) (any, error) {
	var request ApplyRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes)).Decode(&request); err != nil {
		return nil, wharfrefusal.New(http.StatusBadRequest, "bad-input", "malformed request: "+err.Error())
	}
	const limit = 15 * time.Second
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	return s.options.Rollout.Apply(ctx, request.Parent, request.Signed, request.Operator)
}

func (s *Server) history(r *http.Request) (any, error) {
	return s.options.Rollout.History(r.Context())
}

func (s *Server) status(r *http.Request) (any, error) {
	return s.options.Rollout.Status(r.Context())
}

// HostStatus is what the queried host knows about a host of the deployment.
type HostStatus struct {
	wharfzone.Member
	Zone       string `json:"availability-zone"`
	Generation uint64 `json:"generation"`
	Live       bool   `json:"live"` // considered live by the queried host, which knows only the hosts of its own zone
}

func (s *Server) hosts(r *http.Request) (any, error) {
	zones, err := wharfmember.ListZones(r.Context(), s.options.Storage)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	live := map[string]bool{}
	if view := s.options.Member.View(); view != nil {
		for _, m := range view.Live {
			live[m.Host] = true
		}
	}
	hosts := []HostStatus{}
	for _, zone := range zones {
		for _, m := range zone.Members {
			hosts = append(hosts,
				HostStatus{Member: m, Zone: zone.Name, Generation: zone.Generation, Live: live[m.Host]})
		}
	}
	return hosts, nil
}

func (s *Server) drain(*http.Request) (any, error) {
	s.options.Drain()
	return struct{}{}, nil
}

// RemoveRequest asks to remove a host from its zone's members without the zone's agreement.
type RemoveRequest struct {
	Zone string `json:"availability-zone"`
	Host string `json:"host"`
}

func (s *Server) remove(r *http.Request) (any, error) {
	var request RemoveRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes)).Decode(&request); err != nil {
		return nil, wharfrefusal.New(http.StatusBadRequest, "bad-input", "malformed request: "+err.Error())
	}
	return struct{}{}, wharfmember.Remove(r.Context(), s.options.Storage, request.Zone, request.Host)
}

// EndpointStatus is what the queried host knows about an endpoint.
type EndpointStatus struct {
	wharfconfig.Endpoint
	Running int  `json:"running"`
	Ejected bool `json:"ejected"`
}

func (s *Server) endpoints(*http.Request) (any, error) {
	endpoints := []EndpointStatus{}
	for _, e := range s.options.Picker.All() {
		endpoints = append(endpoints,
			EndpointStatus{Endpoint: e.Config(), Running: e.Running(), Ejected: e.Ejected(time.Now())})
	}
	return endpoints, nil
}
