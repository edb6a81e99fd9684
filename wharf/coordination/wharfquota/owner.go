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
	// GrantTerm is how long tokens drawn ahead may be spent, counted by the drawer from its sending.
	GrantTerm = 500 * time.Millisecond
	// NeedTerm is the same for tokens that requests wait for, which are spent as soon as they come.
	NeedTerm = 150 * time.Millisecond
	// GrantMargin is how much longer the owner counts them, for clocks of unequal rate.
	GrantMargin = 100 * time.Millisecond

	rounding    = 1e-6                  // of a token, lost in adding parts up
	leastLoan   = 0.02                  // tokens that are worth lending
	leastWait   = 20 * time.Millisecond // between two draws from a bucket that had too little
	loanTimeout = NeedTerm / 3          // for the answer of another zone's owner
	loanTries   = 4                     // draws from a bucket while it fills by a token
	aheadPart   = 4                     // part of a bucket that one host may draw ahead

	ownPeriod  = 100 * time.Millisecond
	scanPeriod = 250 * time.Millisecond // between two readings of the rows while shards are missing
	ownLimit   = 3 * time.Second
)

// Owner owns quota shards of its zone under the host lease, and grants tokens from their buckets.
type Owner struct {
	zone    string
	storage wharfstorage.Storage
	member  *wharfmember.Member
	loop    *wharfcontrol.Loop
	config  func() *wharfsnapshot.Snapshot
	stopped atomic.Bool
	settled atomic.Bool
	restMu  sync.Mutex
	rests   map[loanKey]time.Time
	// DrawFromZone draws from another zone's owner; without one the zone keeps to its own share.
	DrawFromZone func(ctx context.Context, zone string, request DrawRequest) (DrawReply, error)
	epoch        uint64         // owned by the control goroutine
	shards       map[int]*shard // owned by the control goroutine
	pending      map[int]Shard  // released, but not committed so yet; owned by the control goroutine
	scan         time.Time      // before which the rows are not read again
}

type loanKey struct {
	organisation, zone string
}

type shard struct {
	taken     time.Time
	inherited bool
	levels    map[string]Level
	buckets   map[string]*bucket
}

type bucket struct {
	*wharfbucket.Bucket
	config uint64
}

// NewOwner returns an owner that takes shards when Serve runs.
func NewOwner(zone string, storage wharfstorage.Storage, member *wharfmember.Member, loop *wharfcontrol.Loop, config func() *wharfsnapshot.Snapshot) *Owner {
	return &Owner{zone: zone, storage: storage, member: member, loop: loop, config: config, shards: map[int]*shard{}, pending: map[int]Shard{}, rests: map[loanKey]time.Time{}}
}

// ShardOf returns the quota shard of an organisation.
func ShardOf(organisation string) int {
	return int(xxhash.Sum64String(organisation) % ShardCount)
}

// ShardKey returns the row key of a quota shard.
func ShardKey(zone string, shard int) string {
	return fmt.Sprintf("quota/%s/%02d", zone, shard)
}

// Serve takes and releases shards until ctx ends.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ownPeriod)
	defer ticker.Stop()
	for {
		o.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *Owner) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownLimit)
	defer cancel()
	view := o.member.View()
	if !view.InForce(time.Now()) || o.stopped.Load() {
		return
	}
	missing, surplus := o.compare(ctx, view)
	for _, number := range surplus {
		o.release(ctx, number)
	}
	if len(missing) == 0 {
		o.settled.Store(true)
		return
	}
	if time.Now().After(o.scan) {
		o.scan = time.Now().Add(scanPeriod)
		o.takeAll(ctx, view, missing)
	}
}

// Ready reports whether this incarnation has owned every quota shard that fell to it.
func (o *Owner) Ready() bool {
	return o.settled.Load()
}

// compare drops what an earlier incarnation owned and returns the shards to take and to release.
func (o *Owner) compare(ctx context.Context, view *wharfmember.View) (missing, surplus []int) {
	hosts := view.LiveHosts()
	_ = o.loop.Do(ctx, func() {
		if o.epoch != view.Self.Epoch {
			o.epoch = view.Self.Epoch
			clear(o.shards)
			clear(o.pending)
			o.settled.Store(false)
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

func (o *Owner) takeAll(ctx context.Context, view *wharfmember.View, numbers []int) {
	rows := map[string]wharfrow.Row{}
	err := wharfstorage.ScanAll(ctx, o.storage, "quota/"+o.zone+"/", func(row wharfrow.Row) error {
		rows[row.Key] = row
		return nil
	})
	if err != nil {
		klog.InfoS("quota shards not read; taken later", "availability-zone", o.zone, "shards", len(numbers), "error", err.Error())
		return
	}
	for _, number := range numbers {
		if err := o.take(ctx, view, number, rows[ShardKey(o.zone, number)]); err != nil {
			klog.V(1).InfoS("shard not taken", "shard", number, "error", err.Error())
		}
	}
}

// take commits this incarnation as the owner of a shard that is free, or whose owner was reclaimed.
func (o *Owner) take(ctx context.Context, view *wharfmember.View, number int, row wharfrow.Row) error {
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
			taken:     time.Now(),
			inherited: row.Version != 0 && !last.Untouched,
			levels:    last.Levels,
			buckets:   map[string]*bucket{},
		}
	}))
}

// ReleaseAll gives every shard up, with its levels, before a planned stop.
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

// release stops granting first and commits the levels afterwards; what could not be committed is tried again.
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

// commitRelease reports whether the row names this incarnation no more.
func (o *Owner) commitRelease(ctx context.Context, number int, epoch uint64, released Shard) bool {
	key := ShardKey(o.zone, number)
	current, version, err := wharfstorage.Read[Shard](ctx, o.storage, key)
	if err != nil {
		klog.InfoS("quota shard's row not read; released later", "shard", number, "epoch", epoch, "error", err.Error())
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
