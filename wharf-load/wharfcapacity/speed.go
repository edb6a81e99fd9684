package wharfcapacity

import (
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpace"
)

// WithMixedSpeeds returns the load on endpoints of which a quarter runs at 0.55 of the usual speed and the others at 1.2,
// and 15 in 100 pause now and then, as in a deployment of the users.
func (o Options) WithMixedSpeeds() Options {
	o.Speeds = []float64{0.55, 1.2, 1.2, 1.2}
	return o.withPauses()
}

// WithSimilarSpeeds returns the load on endpoints whose speeds lie within a factor of 1.3, of which 15 in 100 pause now and
// then.
func (o Options) WithSimilarSpeeds() Options {
	o.Speeds = []float64{1, 1, 1.3}
	return o.withPauses()
}

func (o Options) withPauses() Options {
	o.PauseShare, o.PauseInterval, o.PauseDuration = 0.15, 4*time.Second, 300*time.Millisecond
	return o
}

// newEngine returns the engine of an endpoint.
func (s *simulation) newEngine(zone, index int) *engine {
	e := newEngine(&s.clock, s.Slots, s.Slowdown)
	e.eventWork = s.EventWork.Seconds()
	position := zone*s.Endpoints + index
	if len(s.Speeds) > 0 {
		e.speed = s.Speeds[position%len(s.Speeds)]
	}
	if s.SpeedsChangeAt > 0 {
		s.clock.schedule(s.SpeedsChangeAt, func() { e.setSpeed(s.Speeds[(position+1)%len(s.Speeds)]) })
	}
	// Evenly over the endpoints, whatever their speeds.
	if int(float64(position+1)*s.PauseShare) > int(float64(position)*s.PauseShare) {
		s.schedulePause(e)
	}
	return e
}

func (s *simulation) schedulePause(e *engine) {
	s.clock.schedule(time.Duration(s.pauses.ExpFloat64()*float64(s.PauseInterval)), func() {
		e.setPausing(true)
		s.clock.schedule(time.Duration((0.5+s.pauses.Float64())*float64(s.PauseDuration)), func() {
			e.setPausing(false)
			s.schedulePause(e)
		})
	})
}

// weighByPace makes the host learn paces and place by them.
func (h *host) weighByPace() {
	h.paces = wharfpace.New(zoneName(h.zone))
	h.fleet.WeighEndpoints(func(e *wharffleet.Endpoint, now time.Time) float64 {
		factor := h.paces.Factor(e.Service, e.ID, now)
		if factor != 1 {
			h.sim.result.Weighed++
		}
		return factor
	})
}

// learn records the times between the events of an answer.
func (h *host) learn(p *wharffleet.Placement, r *inference, firstEvent time.Duration) {
	gaps := int((r.work - r.prefill) / h.sim.EventWork.Seconds())
	h.paces.Learn(p.Sample(gaps+1, h.sim.clock.now-firstEvent))
}
