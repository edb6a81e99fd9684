package wharflimiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfshare"
)

const (
	// zoneDelay and remoteDelay are the mean one-way delays of a call within a zone and between zones.
	zoneDelay   = time.Millisecond
	remoteDelay = 10 * time.Millisecond
	// zoneView and remoteView are the times after which a host knows that one of its zone, or of another one, can't be
	// reached or is back.
	zoneView   = 1500 * time.Millisecond
	remoteView = 4 * time.Second
	// callLimit bounds a call to an allocator, which is then not called for a suspension.
	callLimit  = 150 * time.Millisecond
	suspension = time.Second
	// modelMesh is the number of hosts up to which a fleet has no allocators.
	modelMesh = 25
)

// model is a fleet of limiters whose requests are concurrent, and whose calls, reports and levels take time and get
// lost. A host reports to the others of its zone who admits its requests, or to all of a small fleet its levels.
type model struct {
	limit   wharfroute.Organisation
	zones   int
	hosts   []*modelHost
	callers []int // the host of each caller
	cancel  context.CancelFunc
	ctx     context.Context
	work    sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	reportLoss  float64 // part of the reports that are lost
	reportDelay time.Duration
	callLoss    float64 // part of the calls whose request or reply is lost
	exact       *wharfshare.Share
	exactAt     []time.Time // when one bucket for all hosts would have admitted requests
	admittedAt  []time.Time
	calls       int
	rejected    int
	unasked     int     // rejected though no other host gave anything
	levels      float64 // sum of the levels that rejections named
}

// modelHost is a host of a model. Its fields are guarded by the model's mutex.
type modelHost struct {
	index, zone int
	weight      float64
	limiter     *Limiter
	stop        context.CancelFunc
	now, before condition
	changedAt   time.Time
	suspended   map[int]time.Time
	heard       map[int]hostReport
}

// condition tells whether a host runs and whom it can reach.
type condition struct {
	down, frozen bool
	partition    int
}

// reaches reports whether two hosts of these conditions can call each other.
func (c condition) reaches(other condition) bool {
	return !c.down && !c.frozen && !other.down && !other.frozen && c.partition == other.partition
}

type hostReport struct {
	at         time.Time
	admittedBy int
	levels     wharfgossip.Levels
}

// newModel returns a fleet whose buckets are full, and callers whose hash chooses their hosts. skew is the part of all callers that are at hosts of the first zone
// or, in a fleet without zones, at the first host, beside those that the hosts' weights put there.
func newModel(t *testing.T, hosts int, limit wharfroute.Organisation, callers int, skew float64) *model {
	m := &model{limit: limit, zones: 1, random: rand.New(rand.NewPCG(uint64(hosts), 7))}
	switch {
	case hosts > 200:
		m.zones = 6
	case hosts > modelMesh:
		m.zones = 3
	}
	m.ctx, m.cancel = context.WithCancel(t.Context())
	for i := range hosts {
		h := &modelHost{index: i, zone: i % m.zones, weight: 0.25 + 1.5*m.random.Float64()}
		m.hosts = append(m.hosts, h)
	}
	for _, h := range m.hosts {
		m.start(h, true)
	}
	m.mu.Lock()
	for range callers {
		m.callers = append(m.callers, m.drawHost(m.random.Float64() < skew))
	}
	m.mu.Unlock()
	time.Sleep(8 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exact = wharfshare.New(limit.Burst, time.Now())
	m.exact.Resize(limit.Rate, limit.Burst, time.Now())
	m.calls = 0
	return m
}

// demandFades is the time after the last request in which a limiter's expected demand falls below a token.
const demandFades = 3 * time.Second

// close ends all that runs.
func (m *model) close() {
	time.Sleep(demandFades) // limiters that are stopped under demand would ask each other for tokens for ever
	m.cancel()
	time.Sleep(time.Second) // calls that limiters make for nobody any more
	m.work.Wait()
}

// drawHost returns a host by weight, of all or of those that skewed callers use.
func (m *model) drawHost(skewed bool) int {
	total := 0.0
	for {
		total = 0
		for _, h := range m.hosts {
			total += h.weight
		}
		at := m.random.Float64() * total
		for _, h := range m.hosts {
			if at -= h.weight; at > 0 {
				continue
			}
			if !skewed || m.zones > 1 && h.zone == 0 || m.zones == 1 && h.index == 0 {
				return h.index
			}
			break
		}
	}
}

// start runs a process of a host. Unless it is fresh, it does not know yet who the others are.
func (m *model) start(h *modelHost, fresh bool) {
	l := New(Options{
		Fresh:            fresh,
		Peers:            func() []wharfgossip.Peer { return m.peers(h) },
		Borrow:           m.borrowFor(h),
		Allocators:       func() []wharfgossip.AllocatorHost { return m.allocators(h, h.zone) },
		AdmitAt:          m.admitFor(h),
		Shares:           func() Shares { return m.sharesOf(h) },
		RemoteAllocators: func() []wharfgossip.Peer { return m.remoteAllocators(h) },
	})
	l.Configure([]wharfroute.Organisation{m.limit})
	l.SetHostCount(len(m.hosts))
	ctx, stop := context.WithCancel(m.ctx)
	m.mu.Lock()
	h.limiter, h.stop = l, stop
	h.heard, h.suspended = map[int]hostReport{}, map[int]time.Time{}
	m.change(h, condition{partition: h.now.partition})
	m.mu.Unlock()
	m.work.Go(func() { _ = l.Serve(ctx) })
	m.work.Go(func() { m.report(ctx, h) })
}

// change changes a host's condition. m.mu is held.
func (m *model) change(h *modelHost, c condition) {
	h.before, h.now, h.changedAt = h.now, c, time.Now()
}

// kill ends the processes of hosts.
func (m *model) kill(hosts []*modelHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		h.stop()
		m.change(h, condition{down: true, partition: h.now.partition})
	}
}

// set changes the condition of hosts that run.
func (m *model) set(hosts []*modelHost, c condition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if !h.now.down {
			m.change(h, c)
		}
	}
}

// knows reports whether host a believes that it can reach host b. m.mu is held.
func (m *model) knows(a, b *modelHost) bool {
	delay := zoneView
	if a.zone != b.zone {
		delay = remoteView
	}
	at := func(h *modelHost) condition {
		if time.Since(h.changedAt) < delay && !(h.before.down && h.now.down) {
			return h.before
		}
		return h.now
	}
	if a == b {
		return true
	}
	seen := at(b)
	return !seen.down && !seen.frozen && seen.partition == at(a).partition
}

// allocators returns the two allocators of a zone that a host knows of.
func (m *model) allocators(h *modelHost, zone int) []wharfgossip.AllocatorHost {
	if m.zones == 1 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []wharfgossip.AllocatorHost
	for j := zone; j < len(m.hosts) && len(found) < 2; j += m.zones {
		if m.knows(h, m.hosts[j]) {
			found = append(found, wharfgossip.AllocatorHost{Host: hostName(j), Self: j == h.index})
		}
	}
	return found
}

func hostName(i int) string { return fmt.Sprintf("h%03d", i) }

func (m *model) hostNamed(name string) *modelHost {
	i := 0
	_, _ = fmt.Sscanf(name, "h%d", &i) // names are those of hostName
	return m.hosts[i]
}

func (m *model) remoteAllocators(h *modelHost) []wharfgossip.Peer {
	var peers []wharfgossip.Peer
	for zone := range m.zones {
		if zone == h.zone {
			continue
		}
		if found := m.allocators(h, zone); len(found) > 0 {
			peers = append(peers, wharfgossip.Peer{Host: found[0].Host})
		}
	}
	return peers
}

// peers returns the other hosts of a small fleet with the levels that they told last.
func (m *model) peers(h *modelHost) []wharfgossip.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []wharfgossip.Peer
	for _, other := range m.hosts {
		if other == h {
			continue
		}
		p := wharfgossip.Peer{Host: hostName(other.index), Presence: wharfgossip.Quiet}
		if heard, known := h.heard[other.index]; known && time.Since(heard.at) < 700*time.Millisecond {
			p.Presence, p.Levels, p.LastHeard = wharfgossip.Alive, heard.levels, heard.at
		}
		peers = append(peers, p)
	}
	return peers
}

// admittedBy returns the host that admits a host's requests, or -1 if it does so itself.
func (m *model) admittedBy(h *modelHost) int {
	for _, a := range m.allocators(h, h.zone) {
		other := m.hostNamed(a.Host)
		if a.Self {
			return -1
		}
		m.mu.Lock()
		suspended := time.Now().Before(h.suspended[other.index])
		m.mu.Unlock()
		if !suspended {
			return other.index
		}
	}
	return -1
}

// sharesOf does what the daemon's rateShares does.
func (m *model) sharesOf(h *modelHost) Shares {
	if m.zones == 1 {
		return Shares{Used: 1}
	}
	allocators := m.allocators(h, h.zone)
	if m.admittedBy(h) >= 0 {
		if len(allocators) == 2 && allocators[1].Self {
			return Shares{Reserved: (len(m.hosts) + m.zones - 1 - h.zone) / m.zones}
		}
		return Shares{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shares := 1
	for _, heard := range h.heard {
		if heard.admittedBy == h.index && time.Since(heard.at) < sharePeriod {
			shares++
		}
	}
	return Shares{Used: shares}
}

// report tells the other hosts of a small fleet this host's levels, or those of its zone who admits its requests.
func (m *model) report(ctx context.Context, h *modelHost) {
	period := reportPeriod
	if m.zones == 1 {
		period = exchangePeriod
	}
	for wharfpause.For(ctx, period+m.drawDelay(period/8)) {
		r := hostReport{admittedBy: m.admittedBy(h)}
		if m.zones == 1 {
			r.levels = h.limiter.Levels()
		}
		m.mu.Lock()
		delay := m.reportDelay
		m.mu.Unlock()
		m.work.Go(func() {
			if wharfpause.For(ctx, delay) {
				m.deliver(h, r)
			}
		})
	}
}

// deliver has the others hear a report.
func (m *model) deliver(h *modelHost, r hostReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.at = time.Now()
	for j := h.zone; j < len(m.hosts); j += m.zones {
		if j != h.index && h.now.reaches(m.hosts[j].now) && m.random.Float64() >= m.reportLoss {
			m.hosts[j].heard[h.index] = r
		}
	}
}

// drawDelay returns a random delay with a mean, at most four times as long.
func (m *model) drawDelay(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(min(4, m.random.ExpFloat64()) * float64(mean))
}

// call runs fn at another host. It fails when ctx ends, if that host can't be reached or a message is lost.
func (m *model) call(ctx context.Context, from, to *modelHost, fn func()) error {
	mean := zoneDelay
	if from.zone != to.zone {
		mean = remoteDelay
	}
	m.mu.Lock()
	m.calls++
	lost, lostReply := m.random.Float64() < m.callLoss/2, m.random.Float64() < m.callLoss/2
	m.mu.Unlock()
	arrives := wharfpause.For(ctx, mean/2+m.drawDelay(mean/2))
	m.mu.Lock()
	reached := from.now.reaches(to.now)
	m.mu.Unlock()
	if !arrives || lost || !reached {
		<-ctx.Done()
		return errPartitioned
	}
	done := make(chan struct{})
	m.work.Go(func() { defer close(done); fn() })
	select {
	case <-done:
	case <-ctx.Done():
		return errPartitioned
	}
	if lostReply || !wharfpause.For(ctx, mean/2+m.drawDelay(mean/2)) {
		<-ctx.Done()
		return errPartitioned
	}
	return nil
}

func (m *model) borrowFor(h *modelHost) func(context.Context, wharfgossip.Peer, Loan) (float64, error) {
	return func(ctx context.Context, p wharfgossip.Peer, loan Loan) (float64, error) {
		to, tokens := m.hostNamed(p.Host), 0.0
		err := m.call(ctx, h, to, func() { tokens = m.limiterOf(to).Lend(loan) })
		if err != nil {
			return 0, err
		}
		return tokens, nil
	}
}

func (m *model) limiterOf(h *modelHost) *Limiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.limiter
}

func (m *model) admitFor(h *modelHost) func(context.Context, wharfgossip.AllocatorHost, Admission) (Decision, error) {
	return func(ctx context.Context, a wharfgossip.AllocatorHost, admission Admission) (Decision, error) {
		to := m.hostNamed(a.Host)
		m.mu.Lock()
		suspended := time.Now().Before(h.suspended[to.index])
		m.mu.Unlock()
		if suspended {
			return Decision{}, errPartitioned
		}
		ctx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		var d Decision
		err := m.call(ctx, h, to, func() { d = m.limiterOf(to).AdmitHere(m.ctx, admission) })
		if err != nil {
			m.mu.Lock()
			h.suspended[to.index] = time.Now().Add(suspension)
			m.mu.Unlock()
			return Decision{}, err
		}
		return d, nil
	}
}

// load has the callers send requests for some time.
func (m *model) load(perSecond float64, length time.Duration) {
	for end := time.Now().Add(length); ; {
		m.mu.Lock()
		gap := time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
		h := m.hosts[m.callers[m.random.IntN(len(m.callers))]]
		m.mu.Unlock()
		if time.Now().Add(gap).After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(gap)
		m.work.Go(func() { m.send(h) })
	}
}

func (m *model) send(h *modelHost) {
	m.mu.Lock()
	if h.now.down || h.now.frozen {
		m.mu.Unlock()
		return
	}
	if m.exact.Take(time.Now()) {
		m.exactAt = append(m.exactAt, time.Now())
	}
	l := h.limiter
	m.mu.Unlock()
	d := l.Admit(m.ctx, Admission{Organisation: m.limit.Name})
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Admitted {
		m.admittedAt = append(m.admittedAt, time.Now())
		return
	}
	m.rejected++
	m.levels += d.Level
	if d.Pulled == 0 {
		m.unasked++
	}
}

// countBefore returns how many of the ascending times lie before one.
func countBefore(times []time.Time, at time.Time) int {
	n, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return n
}

// largestDelay returns the time by which admissions lag behind those of one bucket for all hosts at most, leaving
// tolerance requests out, and by how many requests they lag behind what it had admitted a tenth of a second before.
func (m *model) largestDelay(since, until time.Time, tolerance int) (delay time.Duration, missing int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for at := since; at.Before(until); at = at.Add(10 * time.Millisecond) {
		due := countBefore(m.exactAt, at)
		missing = max(missing, due-countBefore(m.admittedAt, at.Add(100*time.Millisecond)))
		if i := due - tolerance - 1; i >= 0 {
			if i >= len(m.admittedAt) {
				return until.Sub(at), missing
			}
			delay = max(delay, m.admittedAt[i].Sub(at))
		}
	}
	return delay, missing
}

// assertWithinLimit asserts that no window of five seconds held more than the rate, the burst and the allowance.
func (m *model) assertWithinLimit(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	f := fleet{admitted: m.admittedAt, limits: []wharfroute.Organisation{m.limit}}
	m.mu.Unlock()
	assert.Assert(t, len(f.admitted) > 0)
	f.assertWithinLimit(t)
}
