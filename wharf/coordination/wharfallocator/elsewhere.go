package wharfallocator

import (
	"context"
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpick"
)

// queueElsewhere has a request wait in the queue of another zone, because the endpoints of this one are evacuated or in a region
// in which the request may not run. There it has its turn among the requests of that zone's hosts; if it took slots by what is
// known here of their loads, it would exceed them. A zone is drawn in proportion to its slots. It returns errUnanswered if no
// allocator of another zone answers.
func (a *Allocator) queueElsewhere(ctx context.Context, r Request, requester *wharffleet.Requester) (Grant, error) {
	if requester == nil {
		requester = a.options.Fleet.Requester(r.Service)
	}
	start := time.Now()
	slots := a.options.Fleet.SlotsElsewhere(r.Service, r.Regions)
	if len(slots) == 0 {
		return Grant{}, wharfpick.ErrNoEndpoint
	}
	reservation := newReservation(r, requester)
	reservation.Forwarded, reservation.Queue = true, true
	refusal := errUnanswered
	for range maxForwards {
		zone, found := drawZone(slots)
		if !found {
			break
		}
		delete(slots, zone)
		for _, to := range a.options.Remote(zone) {
			if a.IsSuspended(to.Host) {
				continue
			}
			reservation.MaxWait = max(0, r.MaxWait-time.Since(start))
			grant, err := a.call(ctx, to, reservation, reservation.MaxWait+forwardTimeout)
			if err != nil || grant.Refusal == NotReady {
				continue
			}
			switch grant.Refusal {
			case Granted:
				a.options.Count("slots-granted-elsewhere")
				return grant, nil
			case Busy:
				return Grant{}, grant.busyError()
			}
			refusal = wharfpick.ErrNoEndpoint
			break
		}
	}
	return Grant{}, refusal
}
