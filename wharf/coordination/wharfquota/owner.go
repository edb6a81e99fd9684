package wharfquota

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfbucket"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
)

const (
	// ShardCount is the number of quota shards of a zone.
	ShardCount = 16
	// GrantTerm is the validity of tokens drawn in advance, counted from the sending of the draw request.
	GrantTerm = 500 * time.Millisecond
	// NeedTerm is the validity of tokens drawn for waiting requests, which are spent on arrival.
	NeedTerm = 150 * time.Millisecond
	// GrantMargin is how much longer the owner counts granted tokens as outstanding, to allow for clocks that run at
	// different rates.
	GrantMargin = 100 * time.Millisecond

	roundingTolerance  = 1e-6                  // tokens lost to rounding when fractions are added
	minLoan            = 0.02                  // smallest number of tokens worth lending
	minWait            = 20 * time.Millisecond // between two draws from a bucket that had too few tokens
	loanTimeout        = NeedTerm / 3          // for the answer of another zone's owner
	loanRetriesPerWait = 4                     // loan requests to a zone within the wait it returned
	prefetchDivisor    = 4                     // one host may draw at most 1/prefetchDivisor of a bucket in advance

	reconcileInterval = 100 * time.Millisecond
	scanInterval      = 250 * time.Millisecond // between two scans of the rows while shards are missing
	reconcileTimeout  = 3 * time.Second
)

// Owner owns the quota shards of its zone that rank this host first, under the host lease, and grants tokens from
// their buckets.
type Owner struct {
	zone          string
	storage       wharfstorage.Storage
	member        *wharfmember.Member
	loop          *wharfcontrol.Loop
	config        func() *wharfsnapshot.Snapshot
	stopped       atomic.Bool
	ready         atomic.Bool
	lenderMu      sync.Mutex
	lenderRetryAt map[lenderKey]time.Time
	// DrawFromZone draws from another zone's owner. If it is nil, the zone uses only its own share.
	DrawFromZone func(ctx context.Context, zone string, request DrawRequest) (DrawReply, error)
	epoch        uint64         // owned by the control goroutine
	shards       map[int]*shard // owned by the control goroutine
	pending      map[int]Shard  // released in memory, not yet committed; owned by the control goroutine
	nextScan     time.Time      // earliest time of the next scan of the rows
}

// lenderKey identifies an organisation's bucket in another zone.
type lenderKey struct {
	organisation, zone string
}

// shard is a quota shard owned by this host.
type shard struct {
	acquiredAt time.Time
	inherited  bool             // the shard had an owner before that has used its buckets
	levels     map[string]Level // released by the last owner, by organisation
	buckets    map[string]*bucket
}

// bucket is an organisation's bucket, sized by a configuration version.
type bucket struct {
	*wharfbucket.Bucket
	config uint64
}

// NewOwner returns an Owner that acquires shards while Serve runs.
func NewOwner(
	zone string, storage wharfstorage.Storage, member *wharfmember.Member, loop *wharfcontrol.Loop,
	config func() *wharfsnapshot.Snapshot,
) *Owner {
	return &Owner{
		zone:          zone,
		storage:       storage,
		member:        member,
		loop:          loop,
		config:        config,
		shards:        map[int]*shard{},
		pending:       map[int]Shard{},
		lenderRetryAt: map[lenderKey]time.Time{},
	}
}

// ShardOf returns the quota shard of an organisation.
func ShardOf(organisation string) int {
	return int(xxhash.Sum64String(organisation) % ShardCount)
}

// ShardKey returns the row key of a quota shard.
func ShardKey(zone string, shard int) string {
	return fmt.Sprintf("quota/%s/%02d", zone, shard)
}

// Serve acquires and releases shards until ctx is done.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		o.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *Owner) reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	view := o.member.View()
	if !view.InForce(time.Now()) || o.stopped.Load() {
		return
	}
	missing, surplus := o.diffShards(ctx, view)
	for _, number := range surplus {
		o.release(ctx, number)
	}
	if len(missing) == 0 {
		o.ready.Store(true)
		return
	}
	if time.Now().After(o.nextScan) {
		o.nextScan = time.Now().Add(scanInterval)
		o.acquireAll(ctx, view, missing)
	}
}

// Ready reports whether this incarnation has at some time owned every quota shard assigned to it.
func (o *Owner) Ready() bool {
	return o.ready.Load()
}

// diffShards drops the shards of an earlier incarnation and returns the shards to acquire and to release.
func (o *Owner) diffShards(ctx context.Context, view *wharfmember.View) (missing, surplus []int) {
	hosts := view.LiveHosts()
	_ = o.loop.Do(ctx, func() {
		if o.epoch != view.Self.Epoch {
			o.epoch = view.Self.Epoch
			clear(o.shards)
			clear(o.pending)
			o.ready.Store(false)
		}
		for number := range ShardCount {
			wanted := wharfrank.First(ShardKey(o.zone, number), hosts) == view.Self.Host
			_, owned := o.shards[number]
			_, pending := o.pending[number]
			switch {
			case wanted && !owned:
				missing = append(missing, number)
			case !wanted && (owned || pending):
				surplus = append(surplus, number)
			}
		}
	})
	return missing, surplus
}

func (o *Owner) acquireAll(ctx context.Context, view *wharfmember.View, numbers []int) {
	rows := map[string]wharfrow.Row{}
	err := wharfstorage.ScanAll(ctx, o.storage, "quota/"+o.zone+"/", func(row wharfrow.Row) error {
		rows[row.Key] = row
		return nil
	})
	if err != nil {
		klog.InfoS("failed to read quota shards; will retry",
			"availability-zone", o.zone, "shards", len(numbers), "error", err.Error())
		return
	}
	for _, number := range numbers {
		if err := o.acquire(ctx, view, number, rows[ShardKey(o.zone, number)]); err != nil {
			klog.V(1).InfoS("failed to acquire quota shard", "shard", number, "error", err.Error())
		}
	}
}

// acquire commits this incarnation as the owner of a shard that is free or whose last owner was reclaimed.
func (o *Owner) acquire(ctx context.Context, view *wharfmember.View, number int, row wharfrow.Row) error {
	var last Shard
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &last); err != nil {
			return trace.Wrap(err)
		}
	}
	self := view.Self
	if last.Host != "" && last.Host != self.Host && view.Zone.HasMember(last.Host, last.Epoch) {
		return nil
	}
	key := ShardKey(o.zone, number)
	next := Shard{Host: self.Host, Epoch: self.Epoch, Peer: self.Peer}
	conditions := []wharfrow.Condition{wharfstorage.At(key, row.Version)}
	if err := wharfstorage.Commit(ctx, o.storage, conditions, wharfstorage.Put(key, next)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(o.loop.Do(ctx, func() {
		if o.epoch != self.Epoch {
			return
		}
		delete(o.pending, number)
		o.shards[number] = &shard{
			acquiredAt: time.Now(),
			inherited:  row.Version != 0 && !last.Untouched,
			levels:     last.Levels,
			buckets:    map[string]*bucket{},
		}
	}))
}

// ReleaseAll releases all shards with their levels before a planned shutdown.
func (o *Owner) ReleaseAll(ctx context.Context) {
	o.stopped.Store(true)
	var numbers []int
	_ = o.loop.Do(ctx, func() {
		for number := range o.shards {
			numbers = append(numbers, number)
		}
	})
	for _, number := range numbers {
		o.release(ctx, number)
	}
}

// release first stops granting and then commits the levels. A failed commit is retried in the next round.
func (o *Owner) release(ctx context.Context, number int) {
	var released Shard
	found := false
	epoch := uint64(0)
	_ = o.loop.Do(ctx, func() {
		if s := o.shards[number]; s != nil {
			o.pending[number] = s.release(time.Now())
			delete(o.shards, number)
		}
		released, found = o.pending[number]
		epoch = o.epoch
	})
	if !found || !o.commitRelease(ctx, number, epoch, released) {
		return
	}
	_ = o.loop.Do(ctx, func() { delete(o.pending, number) })
}

// commitRelease commits a released shard and reports whether the row no longer names this incarnation.
func (o *Owner) commitRelease(ctx context.Context, number int, epoch uint64, released Shard) bool {
	key := ShardKey(o.zone, number)
	current, version, err := wharfstorage.Read[Shard](ctx, o.storage, key)
	if err != nil {
		klog.InfoS("failed to read quota shard; release will be retried",
			"shard", number, "epoch", epoch, "error", err.Error())
		return false
	}
	if current.Epoch != epoch || current.Host != o.member.Host() {
		return true
	}
	conditions := []wharfrow.Condition{wharfstorage.At(key, version)}
	return wharfstorage.Commit(ctx, o.storage, conditions, wharfstorage.Put(key, released)) == nil
}

func (s *shard) release(now time.Time) Shard {
	levels := map[string]Level{}
	for organisation, level := range s.levels {
		levels[organisation] = level
	}
	for organisation, b := range s.buckets {
		tokens, outstanding := b.Release(now)
		levels[organisation] = Level{Tokens: tokens, Outstanding: outstanding}
	}
	return Shard{Levels: levels, Untouched: !s.inherited}
}
