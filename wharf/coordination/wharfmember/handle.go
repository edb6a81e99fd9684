package wharfmember

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// HandleRenew answers another host's lease renewal. The reply contains the zone if the caller's generation is older.
func (m *Member) HandleRenew(ctx context.Context, request RenewRequest) (RenewReply, error) {
	var reply RenewReply
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		vote := m.machine.Grant(request.Host, request.Epoch, request.Generation, time.Now())
		reply = RenewReply{Granted: vote.Granted, Promised: vote.Promised, Generation: vote.Generation}
		if request.Generation < vote.Generation {
			zone := m.machine.Zone()
			reply.Zone = &zone
		}
	})
	return reply, trace.Wrap(err)
}

// HandleAgree answers whether this host agrees to the reclaim of a silent host.
func (m *Member) HandleAgree(ctx context.Context, request AgreeRequest) (AgreeReply, error) {
	var reply AgreeReply
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		now := time.Now()
		m.machine.Adopt(request.Zone, now)
		reply.Agreed = m.machine.Promise(request.Host, request.Epoch, request.Zone.Generation, now)
		m.publish()
	})
	return reply, trace.Wrap(err)
}

// HandleAdopt adopts a zone membership and returns the generation known afterwards. A host that is not a member
// confirms the generation and gives no votes.
func (m *Member) HandleAdopt(ctx context.Context, request AdoptRequest) (AdoptReply, error) {
	reply := AdoptReply{Generation: request.Zone.Generation}
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		m.machine.Adopt(request.Zone, time.Now())
		m.publish()
		reply.Generation = m.machine.Zone().Generation
	})
	return reply, trace.Wrap(err)
}
