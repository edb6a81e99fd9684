package wharfgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobs"
	"wagtailwharf.example/wharf/coordination/wharfonce"
	"wagtailwharf.example/wharf/coordination/wharfquota"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfbudget"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// ErrKeyRevoked is the cause with which the requests of a withdrawn key end.
var ErrKeyRevoked = errors.New("key was withdrawn")

// Limits bound the requests that are accepted and the times that they may take.
type Limits struct {
	MaxBody          int64         // bytes of a request
	MaxUpload        int64         // bytes of an input file
	QueueTimeout     time.Duration // longest wait for an endpoint
	FirstByteTimeout time.Duration // longest wait for the start of an answer
	IdleTimeout      time.Duration // longest wait between two parts of an answer
	BodyTimeout      time.Duration // longest time to read a request
	MaxAttempts      int           // most endpoints tried for one request
}

// Options name what a server works with.
type Options struct {
	Snapshot     func() *wharfsnapshot.Snapshot
	LeaseHeld    func() bool // whether keyed work may be served now
	Quota        *wharfquota.Client
	Gate         *wharfgate.Gate[*wharfpick.Endpoint]
	Picker       *wharfpick.Picker
	Client       *wharfendpointclient.Client
	Jobs         *wharfjobs.Jobs
	Reservations *wharfonce.Reservations
	Crashes      *wharfpoison.Tracker
	ReportCrash  func(fingerprint uint64, alone bool)
	StopJob      func(id string)
	Budget       *wharfbudget.Budget
	Metrics      *wharfmetrics.Metrics
	Limits       Limits
}

// Server is the HTTP handler of the callers' interface.
type Server struct {
	options Options
	mux     *http.ServeMux
	active  sync.Map // *activeRequest → struct{}
	closing atomic.Bool
}

type activeRequest struct {
	key    string
	cancel context.CancelCauseFunc
}

// New returns the handler.
func New(options Options) *Server {
	s := &Server{options: options, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.generate))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.generate))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("POST /v1/files", s.handle(s.upload))
	s.mux.HandleFunc("GET /v1/files/{id}", s.handle(s.file))
	s.mux.HandleFunc("GET /v1/files/{id}/content", s.handle(s.content))
	s.mux.HandleFunc("POST /v1/batches", s.handle(s.submit))
	s.mux.HandleFunc("GET /v1/batches", s.handle(s.list))
	s.mux.HandleFunc("GET /v1/batches/{id}", s.handle(s.batch))
	s.mux.HandleFunc("POST /v1/batches/{id}/cancel", s.handle(s.cancel))
	s.mux.HandleFunc("/services/{name}/{path...}", s.plain)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		wharfrefusal.New(http.StatusNotFound, "unknown-path", "there is nothing at "+r.URL.Path).Write(w)
	})
	return s
}

// ServeHTTP serves the callers' interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}

// StartDraining has every further answer close its connection, before a planned stop.
func (s *Server) StartDraining() {
	s.closing.Store(true)
}

// CancelRevoked ends the requests of keys that a configuration no longer grants.
func (s *Server) CancelRevoked(snapshot *wharfsnapshot.Snapshot) {
	s.active.Range(func(request, _ any) bool {
		a := request.(*activeRequest)
		if !snapshot.HasKey(a.key) {
			a.cancel(ErrKeyRevoked)
		}
		return true
	})
}

// keyed is a request whose key was accepted.
type keyed struct {
	*http.Request
	token        string
	organisation *wharfsnapshot.Organisation
	snapshot     *wharfsnapshot.Snapshot
	id           string
	started      time.Time
}

// handle accepts the key of a request and answers its refusal, if it has one.
func (s *Server) handle(next func(http.ResponseWriter, *keyed) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, release, err := s.accept(r)
		if err == nil {
			defer release()
			w.Header().Set(wharfapi.RequestIDHeader, request.id)
			err = next(w, request)
		}
		if err != nil {
			s.refuse(w, err)
		}
	}
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	refusal := refusalOf(err)
	s.options.Metrics.Count("refused/" + refusal.Code)
	refusal.Write(w)
}

// accept checks the key and this host's lease, and registers the request so that a withdrawal ends it.
func (s *Server) accept(r *http.Request) (*keyed, func(), error) {
	token, refusal := bearer(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	snapshot := s.options.Snapshot()
	if snapshot == nil || !s.options.LeaseHeld() {
		return nil, nil, errFenced.WithRetryAfter(time.Second)
	}
	key := snapshot.FindKey(token)
	if key == nil {
		return nil, nil, errBadKey
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	a := &activeRequest{key: key.ID, cancel: cancel}
	s.active.Store(a, struct{}{})
	release := func() {
		s.active.Delete(a)
		cancel(nil)
	}
	if current := s.options.Snapshot(); current != snapshot && current.FindKey(token) == nil {
		release()
		return nil, nil, errBadKey
	}
	request := &keyed{
		Request:      r.WithContext(ctx),
		token:        token,
		organisation: key.Organisation,
		snapshot:     snapshot,
		id:           uuid.NewString(),
		started:      time.Now(),
	}
	return request, release, nil
}

// admit takes one request from the organisation's rate.
func (s *Server) admit(r *keyed) error {
	wait, err := s.options.Quota.Admit(r.Context(), r.organisation)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, wharfquota.ErrOverRate):
		return errOverRate.WithRetryAfter(wait)
	}
	return errNoRate.WithRetryAfter(wait)
}

func (s *Server) models(w http.ResponseWriter, r *keyed) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range r.snapshot.Services {
		if service.Kind == wharfconfig.KindModel {
			list.Data = append(list.Data, model{ID: service.Name, Object: "model", OwnedBy: "wagtailwharf"})
		}
	}
	return writeJSON(w, list)
}

// picking returns what takes a place for a request at the time of each try.
func (s *Server) picking(request wharfpick.Request) func(time.Time) (*wharfpick.Endpoint, error) {
	return func(now time.Time) (*wharfpick.Endpoint, error) {
		request.Now = now
		return s.options.Picker.Pick(request)
	}
}
