package wharfpermit

import "time"

// Permits counts the batch requests of one endpoint against the room that online requests leave.
// It is not safe for concurrent use.
type Permits struct {
	slots    int
	headroom float64
	decay    time.Duration
	online   map[string]report
	running  int
}

type report struct {
	count int
	at    time.Time
}

// New returns the permits of an endpoint; headroom is the share of slots, from 0 to 1, that batch never fills,
// and decay is the age after which a daemon's report of its online requests counts no more.
func New(slots int, headroom float64, decay time.Duration) *Permits {
	return &Permits{slots: slots, headroom: headroom, decay: decay, online: map[string]report{}}
}

// Report records how many online requests a daemon has on the endpoint.
func (p *Permits) Report(daemon string, count int, now time.Time) {
	if count == 0 {
		delete(p.online, daemon)
		return
	}
	p.online[daemon] = report{count: count, at: now}
}

// Online returns the online requests that are known to run.
func (p *Permits) Online(now time.Time) int {
	total := 0
	for daemon, r := range p.online {
		if now.Sub(r.at) > p.decay {
			delete(p.online, daemon)
			continue
		}
		total += r.count
	}
	return total
}

// Available returns how many more batch requests may start; it is negative if some must give way.
func (p *Permits) Available(now time.Time) int {
	ceiling := int(float64(p.slots) * (1 - p.headroom))
	return ceiling - p.Online(now) - p.running
}

// Acquire takes a permit and reports whether there was one.
func (p *Permits) Acquire(now time.Time) bool {
	if p.Available(now) <= 0 {
		return false
	}
	p.running++
	return true
}

// Release gives a permit back.
func (p *Permits) Release() {
	p.running--
}
