package wharfquota

import (
	"context"
	"math"
	"time"

	"github.com/gravitational/trace"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfbucket"
)

// HandleDraw grants tokens of an organisation whose shard this host owns, and borrows from other zones what is missing.
func (o *Owner) HandleDraw(ctx context.Context, request DrawRequest) (DrawReply, error) {
	var reply DrawReply
	var missing float64
	err := o.loop.Do(ctx, func() { reply, missing = o.draw(request, time.Now()) })
	if err != nil || missing <= 0 {
		return reply, trace.Wrap(err)
	}
	loans := o.borrow(ctx, request.Organisation, missing)
	if loans == 0 {
		return reply, nil
	}
	err = o.loop.Do(ctx, func() { reply.Tokens += o.pass(request.Organisation, loans, request.Need-reply.Tokens, time.Now()) })
	return reply, trace.Wrap(err)
}

// pass makes whole tokens of loans and of what the own bucket holds, up to what is needed, and puts what is left of
// the loans into the bucket. It runs on the control goroutine.
func (o *Owner) pass(organisation string, loans, need float64, now time.Time) float64 {
	s := o.shards[ShardOf(organisation)]
	if s == nil {
		return 0
	}
	b := o.bucketOf(s, organisation, now)
	if b == nil {
		return 0
	}
	whole := math.Floor(min(need, loans+b.Level(now)) + rounding)
	if own := whole - loans; own > rounding && !b.Take(min(own, b.Level(now)), NeedTerm+GrantMargin, now) {
		whole = math.Floor(loans)
	}
	b.Add(max(0, loans-whole), now)
	return whole
}

// draw runs on the control goroutine; it returns what is missing for the tokens that are waited for.
func (o *Owner) draw(request DrawRequest, now time.Time) (reply DrawReply, missing float64) {
	s := o.shards[ShardOf(request.Organisation)]
	view := o.member.View()
	if s == nil || !view.InForce(now) || view.Self.Epoch != o.epoch {
		return DrawReply{NotOwner: true}, 0
	}
	b := o.bucketOf(s, request.Organisation, now)
	if b == nil {
		return DrawReply{Wait: time.Second}, 0
	}
	level := b.Level(now)
	if request.Loan {
		return o.lend(b, min(request.Need, level), now), 0
	}
	tokens := math.Floor(min(request.Need+min(request.Ahead, level/aheadPart), level) + rounding)
	reply = DrawReply{Term: NeedTerm}
	if tokens > request.Need {
		reply.Term = GrantTerm
	}
	if tokens > 0 && b.Take(min(tokens, level), reply.Term+GrantMargin, now) {
		reply.Tokens = tokens
	}
	if reply.Tokens < request.Need {
		reply.Wait = max(b.Wait(now), leastWait)
		missing = request.Need - reply.Tokens - b.Level(now)
	}
	return reply, missing
}

func (o *Owner) lend(b *bucket, tokens float64, now time.Time) DrawReply {
	if tokens < leastLoan || !b.Take(tokens, NeedTerm+GrantMargin, now) {
		return DrawReply{Wait: max(b.Wait(now), leastWait)}
	}
	reply := DrawReply{Tokens: tokens, Term: NeedTerm}
	if b.Level(now) < leastLoan {
		reply.Wait = max(b.Wait(now), leastWait)
	}
	return reply
}

// borrow asks the other zones, one after another, for what is missing and returns what came. A loan is granted for
// the term that the drawer counts from before it was asked for, so that it may be passed on.
func (o *Owner) borrow(ctx context.Context, organisation string, missing float64) float64 {
	loans := 0.0
	for _, zone := range o.lenders(organisation, time.Now()) {
		reply, err := o.ask(ctx, zone, DrawRequest{Organisation: organisation, Need: missing - loans, Loan: true})
		if err != nil {
			klog.V(1).InfoS("no tokens borrowed", "organisation", organisation, "availability-zone", zone, "error", err.Error())
			o.rest(organisation, zone, ownerBackoff)
			continue
		}
		if reply.Wait > 0 {
			o.rest(organisation, zone, max(reply.Wait/loanTries, leastWait))
		}
		loans += reply.Tokens
		if loans >= missing-rounding {
			break
		}
	}
	return loans
}

// ask gives a lender less time than the drawer gives this owner, so that a silent one does not cost the draw.
func (o *Owner) ask(ctx context.Context, zone string, request DrawRequest) (DrawReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	return o.DrawFromZone(ctx, zone, request)
}

// lenders returns the other zones that have a share and that have not just said that they have nothing.
func (o *Owner) lenders(organisation string, now time.Time) []string {
	config := o.config()
	if o.DrawFromZone == nil || config == nil || config.Organisations[organisation] == nil {
		return nil
	}
	o.restMu.Lock()
	defer o.restMu.Unlock()
	var lenders []string
	for zone := range config.Organisations[organisation].ZoneShares {
		if zone != o.zone && now.After(o.rests[loanKey{organisation, zone}]) {
			lenders = append(lenders, zone)
		}
	}
	return lenders
}

func (o *Owner) rest(organisation, zone string, length time.Duration) {
	o.restMu.Lock()
	defer o.restMu.Unlock()
	o.rests[loanKey{organisation, zone}] = time.Now().Add(length)
}

// bucketOf returns the bucket of an organisation, sized by the present configuration, or nil if it has no share here.
func (o *Owner) bucketOf(s *shard, organisation string, now time.Time) *bucket {
	config := o.config()
	if config == nil {
		return nil
	}
	settings := config.Organisations[organisation]
	if settings == nil || settings.ZoneShares[o.zone] == 0 {
		return nil
	}
	rate := settings.Rate * settings.ZoneShares[o.zone]
	burst := settings.Burst * settings.ZoneShares[o.zone]
	b := s.buckets[organisation]
	if b == nil {
		b = &bucket{Bucket: s.open(organisation, rate, burst, now), config: config.Version}
		s.buckets[organisation] = b
	}
	if b.config != config.Version {
		b.Resize(rate, burst, now)
		b.config = config.Version
	}
	return b
}

func (s *shard) open(organisation string, rate, burst float64, now time.Time) *wharfbucket.Bucket {
	if level, ok := s.levels[organisation]; ok {
		return wharfbucket.Restore(rate, burst, level.Tokens, level.Outstanding, s.taken, GrantTerm+GrantMargin)
	}
	if s.inherited {
		return wharfbucket.Inherit(rate, burst, s.taken, GrantTerm+GrantMargin)
	}
	return wharfbucket.New(rate, burst, now)
}
