package wharfgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobs"
	"wagtailwharf.example/wharf/coordination/wharfonce"
	"wagtailwharf.example/wharf/coordination/wharfquota"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfbudget"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/transport/wharfbody"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// ErrKeyRevoked is the cancellation cause of requests whose key was revoked while they ran.
var ErrKeyRevoked = errors.New("key was withdrawn")

// Limits bound the size, duration and attempts of requests.
type Limits struct {
	MaxBodyBytes     int64         // bytes of a request
	MaxUploadBytes   int64         // bytes of an input file
	QueueTimeout     time.Duration // longest wait for an endpoint
	FirstByteTimeout time.Duration // longest wait for the start of a response
	IdleTimeout      time.Duration // longest wait between two parts of a response
	BodyTimeout      time.Duration // longest time to read a request body
	MaxAttempts      int           // maximum number of endpoints tried for one request
}

// Options are a server's dependencies.
type Options struct {
	Snapshot     func() *wharfsnapshot.Snapshot
	LeaseHeld    func() bool // whether this host may serve requests with keys now
	Quota        *wharfquota.Client
	Gate         *wharfgate.Gate[*wharfpick.Endpoint]
	Picker       *wharfpick.Picker
	Client       *wharfendpointclient.Client
	Jobs         *wharfjobs.Jobs
	Reservations *wharfonce.Reservations
	Crashes      *wharfpoison.Tracker
	ReportCrash  func(fingerprint uint64, alone bool) // alone: the endpoint ran nothing else
	StopJob      func(id string)
	Budget       *wharfbudget.Budget
	Metrics      *wharfmetrics.Metrics
	Limits       Limits
	Bodies       *wharfbody.Reader
	Memory       *wharfmemory.Account // for bodies, input files and their results
}

// Server is the HTTP handler of the callers' interface.
type Server struct {
	options  Options
	mux      *http.ServeMux
	active   sync.Map // *activeRequest → struct{}
	draining atomic.Bool
	stopping atomic.Bool // refuses requests
}

// errStopping refuses a request that arrives late in a planned stop.
var errStopping = wharfrefusal.New(http.StatusServiceUnavailable, "stopping",
	"this host is about to stop; send the request again on a new connection").WithRetryAfter(0)

// activeRequest is a request with a key that is being served.
type activeRequest struct {
	key    string // ID of the key
	cancel context.CancelCauseFunc
}

// New returns a server with its routes registered.
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
	s.mux.HandleFunc("/services/{name}/{path...}", s.serveService)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, wharfrefusal.New(http.StatusNotFound, "unknown-path", "there is nothing at "+r.URL.Path))
	})
	return s
}

// ServeHTTP serves the callers' interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout))
	}
	if s.stopping.Load() {
		s.refuse(w, r, errStopping)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// StartDraining makes every further response close its connection, before a planned stop.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// StopAdmitting makes the server refuse further requests as not run: how long they take is not bounded by the time that is
// left until the stop.
func (s *Server) StopAdmitting() {
	s.stopping.Store(true)
}

// CancelRevoked cancels the active requests whose key is no longer in the snapshot.
func (s *Server) CancelRevoked(snapshot *wharfsnapshot.Snapshot) {
	s.active.Range(func(request, _ any) bool {
		a := request.(*activeRequest)
		if !snapshot.HasKey(a.key) {
			a.cancel(ErrKeyRevoked)
		}
		return true
	})
}

// authenticatedRequest is a request with a valid key.
type authenticatedRequest struct {
	*http.Request
	token        string
	organisation *wharfsnapshot.Organisation
	snapshot     *wharfsnapshot.Snapshot
	id           string
	started      time.Time
}

// handle authenticates a request, calls next, and responds with the refusal if either fails.
func (s *Server) handle(next func(http.ResponseWriter, *authenticatedRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, release, err := s.authenticate(r)
		if err == nil {
			defer release()
			w.Header().Set(wharfapi.RequestIDHeader, request.id)
			err = next(w, request)
		}
		if err != nil {
			s.refuse(w, r, err)
		}
	}
}

// refuse responds with a refusal and counts it. It reads only as much of the request's body as the caller needs to read the
// refusal.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refusal := refusalOf(err)
	s.options.Metrics.Count("refused/" + refusal.Code)
	if refusal.Code == errNoMemory.Code || refusal.Code == errTooSlow.Code {
		klog.InfoS("request refused", "path", r.URL.Path, "status", refusal.Status, "code", refusal.Code,
			"memory", s.options.Memory.Held(), "memory-limit", s.options.Memory.Size())
	}
	settled := s.options.Bodies.Settle(w, r)
	refusal.Write(w)
	if !settled {
		s.options.Bodies.Linger(w, r)
	}
}

// authenticate checks the key and this host's lease, and registers the request so that revoking the key cancels it.
// The returned function must be called when the request has ended.
func (s *Server) authenticate(r *http.Request) (*authenticatedRequest, func(), error) {
	token, refusal := bearerToken(r)
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
	// The key may have been revoked between the first check and the registration.
	if current := s.options.Snapshot(); current != snapshot && current.FindKey(token) == nil {
		release()
		return nil, nil, errBadKey
	}
	request := &authenticatedRequest{
		Request:      r.WithContext(ctx),
		token:        token,
		organisation: key.Organisation,
		snapshot:     snapshot,
		id:           uuid.NewString(),
		started:      time.Now(),
	}
	return request, release, nil
}

// admit takes one token from the organisation's rate limit.
func (s *Server) admit(r *authenticatedRequest) error {
	wait, err := s.options.Quota.Admit(r.Context(), r.organisation)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, wharfquota.ErrOverRate):
		return errOverRate.WithRetryAfter(wait)
	}
	return errRateUnavailable.WithRetryAfter(wait)
}

// models lists the model services of the configuration.
func (s *Server) models(w http.ResponseWriter, r *authenticatedRequest) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range r.snapshot.Services {
		if service.Kind == wharfconfig.KindModel {
			list.Data = append(list.Data, model{ID: service.Name, Object: "model", OwnedBy: "wagtailwharf"})
		}
	}
	return writeJSON(w, list)
}

// pickFunc returns a function that picks an endpoint for the request at a given time.
func (s *Server) pickFunc(request wharfpick.Request) func(time.Time) (*wharfpick.Endpoint, error) {
	return func(now time.Time) (*wharfpick.Endpoint, error) {
		request.Now = now
		return s.options.Picker.Pick(request)
	}
}
