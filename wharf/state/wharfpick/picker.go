package wharfpick

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfrank"
)

const (
	faultsToEject   = 3
	firstEjection   = time.Second
	longestEjection = 15 * time.Second
	farPart         = 4    // part of its share that a daemon uses of other zones' endpoints while its own zone has some
	affinitySkew    = 0.25 // of an endpoint's slots
)

// Sentinel errors of a choice.
var (
	// ErrNoEndpoint says that the service has no endpoint that is thought to work.
	ErrNoEndpoint = errors.New("no endpoint of the service works")
	// ErrAllFull says that every working endpoint has as many requests of this daemon as it may send.
	ErrAllFull = errors.New("every endpoint of the service is full")
)

// Endpoint is what this daemon knows of one endpoint; its counts are safe for concurrent use.
type Endpoint struct {
	config   atomic.Pointer[wharfconfig.Endpoint]
	share    atomic.Int64 // of the slots, if all daemons of the zone had as many
	running  atomic.Int64
	faults   atomic.Int64
	ejected  atomic.Int64 // Unix nanoseconds until which it is ejected
	ejection atomic.Int64 // length of the last ejection, in nanoseconds
	leaving  atomic.Bool
	changed  func(*Endpoint)
}

// Config returns the endpoint's present settings.
func (e *Endpoint) Config() wharfconfig.Endpoint {
	return *e.config.Load()
}

// Running returns the requests of this daemon on the endpoint.
func (e *Endpoint) Running() int {
	return int(e.running.Load())
}

// Ejected reports whether the endpoint is left alone for now, after faults.
func (e *Endpoint) Ejected(now time.Time) bool {
	return now.UnixNano() < e.ejected.Load()
}

func (e *Endpoint) usable(now time.Time) bool {
	return !e.leaving.Load() && !e.Ejected(now)
}

func (e *Endpoint) load() float64 {
	return float64(e.running.Load()) / float64(e.Config().Slots)
}

// acquire counts one more request unless the daemon's part of the endpoint is full.
func (e *Endpoint) acquire() bool {
	for {
		running := e.running.Load()
		if running >= e.share.Load() {
			return false
		}
		if e.running.CompareAndSwap(running, running+1) {
			e.notify()
			return true
		}
	}
}

// Release ends a request that Pick has started.
func (e *Endpoint) Release() {
	e.running.Add(-1)
	e.notify()
}

func (e *Endpoint) notify() {
	if e.changed != nil {
		e.changed(e)
	}
}

// Succeed records an answer, which ends a row of faults.
func (e *Endpoint) Succeed() {
	if e.faults.Load() != 0 {
		e.faults.Store(0)
		e.ejection.Store(0)
	}
}

// Fail records a fault; a row of them, or one that shows the endpoint to be down, ejects it for a time that doubles.
func (e *Endpoint) Fail(down bool, now time.Time) {
	faults := e.faults.Add(1)
	if faults < faultsToEject && !down {
		return
	}
	length := min(max(2*time.Duration(e.ejection.Load()), firstEjection), longestEjection)
	e.ejection.Store(int64(length))
	e.ejected.Store(now.Add(length).UnixNano())
	e.faults.Store(faultsToEject - 1)
}

// Picker chooses endpoints by two random choices among those of a service (Mitzenmacher 2001), the own zone's first.
type Picker struct {
	zone     string
	changed  func(*Endpoint)
	mu       sync.Mutex
	known    map[string]*Endpoint
	services atomic.Pointer[map[string]*group]
	random   bool
}

// UseRandom has the picker take any endpoint, whatever its load.
func (p *Picker) UseRandom() {
	p.random = true
}

type group struct {
	near []*Endpoint
	far  []*Endpoint
}

// New returns a picker for a daemon in zone; changed, if not nil, is called when an endpoint's count changes.
func New(zone string, changed func(*Endpoint)) *Picker {
	p := &Picker{zone: zone, changed: changed, known: map[string]*Endpoint{}}
	p.services.Store(&map[string]*group{})
	return p
}

// Update takes in the endpoints of a configuration, the names of those that leave, and the number of daemons
// of the zone that share each endpoint.
func (p *Picker) Update(endpoints []wharfconfig.Endpoint, leaving map[string]bool, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := map[string]*group{}
	known := map[string]*Endpoint{}
	for _, settings := range endpoints {
		e := p.known[settings.Name]
		if e == nil || e.Config().URL != settings.URL {
			e = &Endpoint{changed: p.changed}
		}
		known[settings.Name] = e
		e.config.Store(&settings)
		e.divide(settings.Slots, max(1, daemons))
		e.leaving.Store(settings.Leaving || leaving[settings.Name])
		g := services[settings.Service]
		if g == nil {
			g = &group{}
			services[settings.Service] = g
		}
		g.add(e, settings.Zone == p.zone)
	}
	p.known = known
	p.services.Store(&services)
}

func (e *Endpoint) divide(slots, daemons int) {
	e.share.Store(int64(max(1, (slots+daemons-1)/daemons)))
}

func (g *group) add(e *Endpoint, near bool) {
	if near {
		g.near = append(g.near, e)
		return
	}
	g.far = append(g.far, e)
}

// All returns every known endpoint.
func (p *Picker) All() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Endpoint, 0, len(p.known))
	for _, e := range p.known {
		all = append(all, e)
	}
	return all
}

// Find returns a known endpoint by its name, or nil.
func (p *Picker) Find(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// Request is what the choice of an endpoint depends on.
type Request struct {
	Service    string
	Affinity   string          // requests with the same text go to the same endpoint while it is not overloaded; "" for none
	Avoid      map[string]bool // endpoints that have failed this request
	PreferIdle bool            // prefer an endpoint on which this daemon runs nothing
	Now        time.Time
}

// Pick chooses an endpoint and counts the request on it until Release; it returns ErrFull or ErrNone if it can't.
func (p *Picker) Pick(request Request) (*Endpoint, error) {
	g := (*p.services.Load())[request.Service]
	if g == nil {
		return nil, ErrNoEndpoint
	}
	near, far := request.usable(g.near), request.usable(g.far)
	if e := p.choose(&request, withRoom(near, 1)); e != nil {
		return e, nil
	}
	part := int64(farPart)
	if len(near) == 0 {
		part = 1
	}
	if e := p.choose(&request, withRoom(far, part)); e != nil {
		return e, nil
	}
	if len(near)+len(far) > 0 {
		return nil, ErrAllFull
	}
	return nil, ErrNoEndpoint
}

// withRoom returns the endpoints on which this daemon runs less than a part of its share of the slots.
func withRoom(usable []*Endpoint, part int64) []*Endpoint {
	free := make([]*Endpoint, 0, len(usable))
	for _, e := range usable {
		if e.running.Load() < e.share.Load()/part {
			free = append(free, e)
		}
	}
	return free
}

func (p *Picker) choose(request *Request, usable []*Endpoint) *Endpoint {
	if len(usable) == 0 {
		return nil
	}
	if !p.random {
		return request.choose(usable)
	}
	if e := usable[rand.IntN(len(usable))]; e.acquire() {
		return e
	}
	return leastLoaded(usable)
}

func (r *Request) usable(candidates []*Endpoint) []*Endpoint {
	usable := make([]*Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if e.usable(r.Now) && !r.Avoid[e.config.Load().Name] {
			usable = append(usable, e)
		}
	}
	return usable
}

func (r *Request) choose(usable []*Endpoint) *Endpoint {
	if r.PreferIdle {
		return leastLoaded(usable)
	}
	best := better(usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))])
	if r.Affinity != "" {
		best = r.favour(usable, best)
	}
	if best.acquire() {
		return best
	}
	return leastLoaded(usable)
}

func better(a, b *Endpoint) *Endpoint {
	if b.load() < a.load() {
		return b
	}
	return a
}

// favour returns the endpoint that ranks first for the affinity, unless it is busier than best by more than the cap.
func (r *Request) favour(usable []*Endpoint, best *Endpoint) *Endpoint {
	names := make([]string, len(usable))
	byName := make(map[string]*Endpoint, len(usable))
	for i, e := range usable {
		names[i] = e.config.Load().Name
		byName[names[i]] = e
	}
	favoured := byName[wharfrank.First(r.Affinity, names)]
	if favoured.load() <= best.load()+affinitySkew {
		return favoured
	}
	return best
}

func leastLoaded(usable []*Endpoint) *Endpoint {
	var best *Endpoint
	for _, e := range usable {
		if best == nil || e.load() < best.load() {
			best = e
		}
	}
	if best.acquire() {
		return best
	}
	return nil
}
