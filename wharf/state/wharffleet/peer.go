package wharffleet

import "time"

const (
	// silenceLimit is the time without a report after which a host's batch items count as running on: two reports of a
	// large fleet, so that one may be lost.
	silenceLimit = 1300 * time.Millisecond
	// lostLimit is the time without a report after which a host's loads end: by then its endpoints have finished its online
	// requests and most of its batch items. A host that is only cut off or slow reports again; until then the endpoints'
	// own slots bound what is placed beside its requests.
	lostLimit = 5 * time.Second
	// silenceCheckInterval is the time between two looks for silent hosts.
	silenceCheckInterval = 100 * time.Millisecond
)

// peer is what another host, or another zone's allocator for all hosts that do not report here, has told of its loads.
type peer struct {
	loads    map[string]Load // by endpoint, including endpoints that are not registered yet
	reported time.Time
	silent   bool // it has not reported for silenceLimit, and can't be asked to stop a batch item
}

// addTo adds the host's load on an endpoint, or takes it off if sign is -1.
func (p *peer) addTo(e *entry, sign int) {
	load := p.loads[e.ID]
	e.online += sign * load.Online
	e.batch += sign * load.Batch
	e.stalled += sign * load.Stalled
	if p.silent {
		e.unstoppable += sign * load.Batch
	}
}

// ReplaceLoads replaces the loads of another host.
func (f *Fleet) ReplaceLoads(host string, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host)
	f.applyLoads(f.peer(host), host, loads)
}

// ApplyChanges applies changed loads of another host, with their faults and successes, and returns the endpoints that
// are ejected as a result.
func (f *Fleet) ApplyChanges(host string, loads []Load) []Ejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(host)
	p.reported = time.Now()
	f.setSilent(p, false)
	f.applyLoads(p, host, loads)
	return f.applyOutcomes(loads)
}

func (f *Fleet) peer(host string) *peer {
	p := f.peers[host]
	if p == nil {
		p = &peer{loads: map[string]Load{}, reported: time.Now()}
		f.peers[host] = p
	}
	return p
}

func (f *Fleet) applyLoads(p *peer, host string, loads []Load) {
	for _, load := range loads {
		e := f.entries[load.Endpoint]
		if e != nil {
			load.Endpoint = e.ID // shares one copy of the ID between all hosts
			load.Faults, load.Served = 0, 0
			e.announcement.hear(host, load, time.Now())
			load.LimitAge = 0
			p.addTo(e, -1)
		}
		p.loads[load.Endpoint] = load
		if e != nil {
			p.addTo(e, 1)
		}
		if load.Online == 0 && load.Batch == 0 {
			delete(p.loads, load.Endpoint)
		}
	}
}

// addPeerLoad counts a request of another host at an endpoint until that host reports its load itself.
func (f *Fleet) addPeerLoad(host string, e *entry, batch bool) {
	p := f.peer(host)
	if len(p.loads) == 0 {
		p.reported = time.Now() // a host without loads need not have reported for a while
	}
	load := p.loads[e.ID]
	load.Endpoint = e.ID
	load.add(batch, 1)
	f.applyLoads(p, host, []Load{load})
	e.announcement.grant(host, time.Now())
}

// Forget drops the loads of a host that has ended. Those of a host that is never heard of again end by themselves.
func (f *Fleet) Forget(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host)
}

func (f *Fleet) forget(host string) {
	if p := f.peers[host]; p != nil {
		f.addAll(p, -1)
		delete(f.peers, host)
	}
}

// addAll adds a host's loads to all endpoints, or takes them off if sign is -1.
func (f *Fleet) addAll(p *peer, sign int) {
	for id := range p.loads {
		if e := f.entries[id]; e != nil {
			p.addTo(e, sign)
		}
	}
}

func (f *Fleet) setSilent(p *peer, silent bool) {
	if p.silent != silent {
		f.addAll(p, -1)
		p.silent = silent
		f.addAll(p, 1)
	}
}

// checkSilence finds the hosts that have not reported for silenceLimit, and drops the loads of those that have not for
// lostLimit, at most once per silenceCheckInterval.
func (f *Fleet) checkSilence(now time.Time) {
	if now.Sub(f.lastSilenceCheck) < silenceCheckInterval {
		return
	}
	f.lastSilenceCheck = now
	for host, p := range f.peers {
		switch silence := now.Sub(p.reported); {
		case silence >= lostLimit:
			f.forget(host)
		case silence >= silenceLimit:
			f.setSilent(p, true)
		}
	}
}
