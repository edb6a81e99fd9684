package wharfforwarder

import "time"

// maxSinkShare is the largest share, one in maxSinkShare, of the time between the first and the last event that may be spent on
// passing events on. A caller that reads slowly takes more and says nothing about the endpoint.
const maxSinkShare = 8

// eventSpan measures the time from the first event of an attempt to the last.
type eventSpan struct {
	first, last time.Time
	sinkTime    time.Duration // spent on passing events on
}

// add records an event that was received at a time and has been passed on since.
func (s *eventSpan) add(received time.Time) {
	if s.first.IsZero() {
		s.first = received
	}
	s.last = received
	s.sinkTime += time.Since(received)
}

// duration returns the time from the first event to the last, or 0 if the caller may have determined it.
func (s *eventSpan) duration() time.Duration {
	span := s.last.Sub(s.first)
	if s.sinkTime > span/maxSinkShare {
		return 0
	}
	return span
}
