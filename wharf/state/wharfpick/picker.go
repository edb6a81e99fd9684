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
	maxEjection     = 15 * time.Second
	farShareDivisor = 4    // divides the share of far endpoints while near ones are usable
	maxAffinitySkew = 0.25 // difference in load, as a fraction of an endpoint's slots
)

// Errors of Pick.
var (
	// ErrNoEndpoint means that the service has no usable endpoint.
	ErrNoEndpoint = errors.New("no endpoint of the service works")
	// ErrAllFull means that this daemon has used up its share of every usable endpoint.
	ErrAllFull = errors.New("every endpoint of the service is full")
	// ErrAllCold means that every usable endpoint is cold, and that this daemon may send none of them a request now.
	ErrAllCold = errors.New("every endpoint of the service is cold and gets no more requests at present")
)

// Endpoint is the state of one endpoint in this daemon. It is safe for concurrent use.
type Endpoint struct {
	config       atomic.Pointer[wharfconfig.Endpoint]
	share        atomic.Int64 // this daemon's equal share of the slots
	running      atomic.Int64
	faults       atomic.Int64
	ejectedUntil atomic.Int64 // end of the ejection in Unix nanoseconds
	lastEjection atomic.Int64 // duration of the last ejection in nanoseconds, 0 after a success
	leaving      atomic.Bool
	changed      func(*Endpoint)
}

// Config returns the endpoint's current configuration.
func (e *Endpoint) Config() wharfconfig.Endpoint {
	return *e.config.Load()
}

// Running returns the number of running requests of this daemon on the endpoint.
func (e *Endpoint) Running() int {
	return int(e.running.Load())
}

// Ejected reports whether the endpoint is ejected because of faults.
func (e *Endpoint) Ejected(now time.Time) bool {
	return now.UnixNano() < e.ejectedUntil.Load()
}

func (e *Endpoint) usable(now time.Time) bool {
	return !e.leaving.Load() && !e.Ejected(now)
}

func (e *Endpoint) load() float64 {
	return float64(e.running.Load()) / float64(e.Config().Slots)
}

// acquire counts one more request, unless the daemon's share of the endpoint is used up.
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

// Release ends a request that Pick has counted.
func (e *Endpoint) Release() {
	e.running.Add(-1)
	e.notify()
}

func (e *Endpoint) notify() {
	if e.changed != nil {
		e.changed(e)
	}
}

// Succeed records a successful response, which resets the count of consecutive faults.
func (e *Endpoint) Succeed() {
	if e.faults.Load() != 0 {
		e.faults.Store(0)
		e.lastEjection.Store(0)
	}
}

// Fail records a fault. Several consecutive faults, or one that shows the endpoint to be down, eject the endpoint for a
// time that doubles with each ejection.
func (e *Endpoint) Fail(down bool, now time.Time) {
	faults := e.faults.Add(1)
	if faults < faultsToEject && !down {
		return
	}
	duration := min(max(2*time.Duration(e.lastEjection.Load()), firstEjection), maxEjection)
	e.lastEjection.Store(int64(duration))
	e.ejectedUntil.Store(now.Add(duration).UnixNano())
	e.faults.Store(faultsToEject - 1)
}

// Picker picks the less loaded of two random endpoints of a service (Mitzenmacher 2001), preferring those of its own
// zone.
type Picker struct {
	zone     string
	changed  func(*Endpoint)
	mu       sync.Mutex
	known    map[string]*Endpoint
	services atomic.Pointer[map[string]*group]
	random   bool
}

// UseRandom makes the picker choose one random endpoint regardless of load. It must be called before the first Pick.
func (p *Picker) UseRandom() {
	p.random = true
}

// group holds the endpoints of a service in this zone (near) and in others (far).
type group struct {
	near []*Endpoint
	far  []*Endpoint
}

// New returns a picker for a daemon in zone. changed, if not nil, is called when an endpoint's running count changes.
func New(zone string, changed func(*Endpoint)) *Picker {
	p := &Picker{zone: zone, changed: changed, known: map[string]*Endpoint{}}
	p.services.Store(&map[string]*group{})
	return p
}

// Update replaces the endpoints with those of a configuration. leaving holds the names of further endpoints that are
// leaving, and daemons is the number of daemons in the zone that share each endpoint.
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
		e.setShare(settings.Slots, max(1, daemons))
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

func (e *Endpoint) setShare(slots, daemons int) {
	e.share.Store(int64(max(1, (slots+daemons-1)/daemons)))
}

func (g *group) add(e *Endpoint, near bool) {
	if near {
		g.near = append(g.near, e)
		return
	}
	g.far = append(g.far, e)
}

// All returns all endpoints in no particular order.
func (p *Picker) All() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Endpoint, 0, len(p.known))
	for _, e := range p.known {
		all = append(all, e)
	}
	return all
}

// Find returns the endpoint with a name, or nil.
func (p *Picker) Find(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// Request holds the properties of a request that Pick depends on.
type Request struct {
	Service    string
	Affinity   string          // requests with the same value prefer the same endpoint, load permitting; "" for none
	Avoid      map[string]bool // names of endpoints that have failed this request
	PreferIdle bool            // prefer the endpoint with the least load of this daemon
	Now        time.Time
}

// Pick picks an endpoint and counts the request on it until Release. It returns ErrNoEndpoint if no endpoint is usable,
// and ErrAllFull if all of them are full.
func (p *Picker) Pick(request Request) (*Endpoint, error) {
	g := (*p.services.Load())[request.Service]
	if g == nil {
		return nil, ErrNoEndpoint
	}
	near, far := request.usable(g.near), request.usable(g.far)
	if e := p.choose(&request, belowShare(near, 1)); e != nil {
		return e, nil
	}
	divisor := int64(farShareDivisor)
	if len(near) == 0 {
		divisor = 1
	}
	if e := p.choose(&request, belowShare(far, divisor)); e != nil {
		return e, nil
	}
	if len(near)+len(far) > 0 {
		return nil, ErrAllFull
	}
	return nil, ErrNoEndpoint
}

// belowShare returns the endpoints on which this daemon runs fewer requests than its share of the slots divided by
// divisor.
func belowShare(usable []*Endpoint, divisor int64) []*Endpoint {
	free := make([]*Endpoint, 0, len(usable))
	for _, e := range usable {
		if e.running.Load() < e.share.Load()/divisor {
			free = append(free, e)
		}
	}
	return free
}

// choose picks one of the endpoints and counts the request on it. It returns nil if there is none to pick.
func (p *Picker) choose(request *Request, usable []*Endpoint) *Endpoint {
	if len(usable) == 0 {
		return nil
	}
	if !p.random {
		return request.pickByLoad(usable)
	}
	if e := usable[rand.IntN(len(usable))]; e.acquire() {
		return e
	}
	return acquireLeastLoaded(usable)
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

// pickByLoad picks the less loaded of two random endpoints, unless the request prefers an idle one or has an affinity.
func (r *Request) pickByLoad(usable []*Endpoint) *Endpoint {
	if r.PreferIdle {
		return acquireLeastLoaded(usable)
	}
	best := lessLoaded(usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))])
	if r.Affinity != "" {
		best = r.applyAffinity(usable, best)
	}
	if best.acquire() {
		return best
	}
	return acquireLeastLoaded(usable)
}

func lessLoaded(a, b *Endpoint) *Endpoint {
	if b.load() < a.load() {
		return b
	}
	return a
}

// applyAffinity returns the endpoint that ranks first for the affinity, or best if that one is more loaded than best by
// more than maxAffinitySkew.
func (r *Request) applyAffinity(usable []*Endpoint, best *Endpoint) *Endpoint {
	names := make([]string, len(usable))
	byName := make(map[string]*Endpoint, len(usable))
	for i, e := range usable {
		names[i] = e.config.Load().Name
		byName[names[i]] = e
	}
	preferred := byName[wharfrank.First(r.Affinity, names)]
	if preferred.load() <= best.load()+maxAffinitySkew {
		return preferred
	}
	return best
}

// acquireLeastLoaded counts the request on the least loaded endpoint, or returns nil if the share of that is used up.
func acquireLeastLoaded(usable []*Endpoint) *Endpoint {
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
