package wharffrontend

import (
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
)

// learnPace records the time between the events of an attempt.
func (o *online) learnPace(placement *wharffleet.Placement, result wharfforwarder.Result) {
	o.pace = 0
	if result.Events > 1 {
		o.pace = result.EventSpan / time.Duration(result.Events-1)
	}
	o.server.options.Paces.Learn(placement.Sample(result.Events, result.EventSpan))
}

// paceFields returns what a log line says of the endpoint's pace, nothing if no paces are learned.
func (o *online) paceFields() []any {
	if o.server.options.Paces == nil {
		return nil
	}
	return []any{
		"pace", o.pace.String(), "endpoint-factor", o.server.options.Paces.Factor(o.service, o.endpoint, time.Now()),
	}
}
