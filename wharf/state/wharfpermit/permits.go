package wharfpermit

import "time"

// Permits counts the batch requests of one endpoint against the slots that online requests leave free. It is not safe
// for concurrent use.
type Permits struct {
	slots     int
	headroom  float64
	reportTTL time.Duration
	online    map[string]report
	running   int
}

type report struct {
	count int
	at    time.Time
}

// New returns the permits of an endpoint. headroom is the fraction of slots, from 0 to 1, that batch requests never
// use, and reportTTL is the age after which a daemon's report of its online requests is ignored.
func New(slots int, headroom float64, reportTTL time.Duration) *Permits {
	return &Permits{slots: slots, headroom: headroom, reportTTL: reportTTL, online: map[string]report{}}
}

// Report records the number of online requests that a daemon runs on the endpoint.
func (p *Permits) Report(daemon string, count int, now time.Time) {
	if count == 0 {
		delete(p.online, daemon)
		return
	}
	p.online[daemon] = report{count: count, at: now}
}

// Online returns the number of online requests according to current reports, and drops expired ones.
func (p *Permits) Online(now time.Time) int {
	total := 0
	for daemon, r := range p.online {
		if now.Sub(r.at) > p.reportTTL {
			delete(p.online, daemon)
			continue
		}
		total += r.count
	}
	return total
}

// Available returns how many more batch requests may start. It is negative if some must be preempted.
func (p *Permits) Available(now time.Time) int {
	limit := int(float64(p.slots) * (1 - p.headroom))
	return limit - p.Online(now) - p.running
}

// Acquire takes a permit and reports whether one was available.
func (p *Permits) Acquire(now time.Time) bool {
	if p.Available(now) <= 0 {
		return false
	}
	p.running++
	return true
}

// Release returns a permit.
func (p *Permits) Release() {
	p.running--
}
