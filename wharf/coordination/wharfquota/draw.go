package wharfquota

import (
	"context"
	"math"
	"time"

	"github.com/gravitational/trace"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfbucket"
)

// HandleDraw grants tokens of an organisation whose shard this host owns. It borrows missing tokens from other zones.
func (o *Owner) HandleDraw(ctx context.Context, request DrawRequest) (DrawReply, error) {
	var reply DrawReply
	var missing float64
	err := o.loop.Do(ctx, func() { reply, missing = o.grant(request, time.Now()) })
	if err != nil || missing <= 0 {
		return reply, trace.Wrap(err)
	}
	loans := o.borrow(ctx, request.Organisation, missing)
	if loans == 0 {
		return reply, nil
	}
	err = o.loop.Do(ctx, func() {
		reply.Tokens += o.redeemLoans(request.Organisation, loans, request.Need-reply.Tokens, time.Now())
	})
	return reply, trace.Wrap(err)
}

// redeemLoans returns whole tokens made of borrowed fractions and tokens of this zone's bucket, up to need, and adds
// the rest of the loans to the bucket. It runs on the control goroutine.
func (o *Owner) redeemLoans(organisation string, loans, need float64, now time.Time) float64 {
	s := o.shards[ShardOf(organisation)]
	if s == nil {
		return 0
	}
	b := o.bucketFor(s, organisation, now)
	if b == nil {
		return 0
	}
	tokens := math.Floor(min(need, loans+b.Level(now)) + roundingTolerance)
	if own := tokens - loans; own > roundingTolerance && !b.Take(min(own, b.Level(now)), NeedTerm+GrantMargin, now) {
		tokens = math.Floor(loans)
	}
	b.Add(max(0, loans-tokens), now)
	return tokens
}

// grant takes tokens from this zone's bucket for a request and returns how many are still missing for waiting requests.
// It runs on the control goroutine.
func (o *Owner) grant(request DrawRequest, now time.Time) (reply DrawReply, missing float64) {
	s := o.shards[ShardOf(request.Organisation)]
	view := o.member.View()
	if s == nil || !view.InForce(now) || view.Self.Epoch != o.epoch {
		return DrawReply{NotOwner: true}, 0
	}
	b := o.bucketFor(s, request.Organisation, now)
	if b == nil {
		return DrawReply{Wait: time.Second}, 0
	}
	level := b.Level(now)
	if request.Loan {
		return o.lend(b, min(request.Need, level), now), 0
	}
	tokens := math.Floor(min(request.Need+min(request.Ahead, level/prefetchDivisor), level) + roundingTolerance)
	reply = DrawReply{Term: NeedTerm}
	if tokens > request.Need {
		reply.Term = GrantTerm
	}
	if tokens > 0 && b.Take(min(tokens, level), reply.Term+GrantMargin, now) {
		reply.Tokens = tokens
	}
	if reply.Tokens < request.Need {
		reply.Wait = max(b.Wait(now), minWait)
		missing = request.Need - reply.Tokens - b.Level(now)
	}
	return reply, missing
}

func (o *Owner) lend(b *bucket, tokens float64, now time.Time) DrawReply {
	if tokens < minLoan || !b.Take(tokens, NeedTerm+GrantMargin, now) {
		return DrawReply{Wait: max(b.Wait(now), minWait)}
	}
	reply := DrawReply{Tokens: tokens, Term: NeedTerm}
	if b.Level(now) < minLoan {
		reply.Wait = max(b.Wait(now), minWait)
	}
	return reply
}

// borrow asks the other zones in turn for the missing tokens and returns the tokens received. A loan is valid for the
// term of the drawing host, which starts before the loan was requested, so it may be passed on.
func (o *Owner) borrow(ctx context.Context, organisation string, missing float64) float64 {
	loans := 0.0
	for _, zone := range o.lenders(organisation, time.Now()) {
		reply, err := o.borrowFrom(ctx, zone,
			DrawRequest{Organisation: organisation, Need: missing - loans, Loan: true})
		if err != nil {
			klog.V(1).InfoS("failed to borrow tokens",
				"organisation", organisation, "availability-zone", zone, "error", err.Error())
			o.backOffLender(organisation, zone, ownerBackoff)
			continue
		}
		if reply.Wait > 0 {
			o.backOffLender(organisation, zone, max(reply.Wait/loanRetriesPerWait, minWait))
		}
		loans += reply.Tokens
		if loans >= missing-roundingTolerance {
			break
		}
	}
	return loans
}

// borrowFrom gives the lender less time than the drawing host gives this owner, so that a silent lender does not make
// the draw time out.
func (o *Owner) borrowFrom(ctx context.Context, zone string, request DrawRequest) (DrawReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	return o.DrawFromZone(ctx, zone, request)
}

// lenders returns the other zones that have a share of the organisation's rate and are not backed off.
func (o *Owner) lenders(organisation string, now time.Time) []string {
	config := o.config()
	if o.DrawFromZone == nil || config == nil || config.Organisations[organisation] == nil {
		return nil
	}
	o.lenderMu.Lock()
	defer o.lenderMu.Unlock()
	var lenders []string
	for zone := range config.Organisations[organisation].ZoneShares {
		if zone != o.zone && now.After(o.lenderRetryAt[lenderKey{organisation, zone}]) {
			lenders = append(lenders, zone)
		}
	}
	return lenders
}

func (o *Owner) backOffLender(organisation, zone string, delay time.Duration) {
	o.lenderMu.Lock()
	defer o.lenderMu.Unlock()
	o.lenderRetryAt[lenderKey{organisation, zone}] = time.Now().Add(delay)
}

// bucketFor returns the bucket of an organisation, resized to the current configuration, or nil if this zone has no
// share.
func (o *Owner) bucketFor(s *shard, organisation string, now time.Time) *bucket {
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
		b = &bucket{Bucket: s.newBucket(organisation, rate, burst, now), config: config.Version}
		s.buckets[organisation] = b
	}
	if b.config != config.Version {
		b.Resize(rate, burst, now)
		b.config = config.Version
	}
	return b
}

func (s *shard) newBucket(organisation string, rate, burst float64, now time.Time) *wharfbucket.Bucket {
	if level, ok := s.levels[organisation]; ok {
		return wharfbucket.Restore(rate, burst, level.Tokens, level.Outstanding, s.acquiredAt, GrantTerm+GrantMargin)
	}
	if s.inherited {
		return wharfbucket.Inherit(rate, burst, s.acquiredAt, GrantTerm+GrantMargin)
	}
	return wharfbucket.New(rate, burst, now)
}
