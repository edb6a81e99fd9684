package wharfbatch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	freePage    = 100 // free claims looked at in one round
	claimTries  = 4
	emptyRounds = 5 // rounds that are left out after one in which there was nothing to claim
	sweepPeriod = 2 * claimLimit
	served      = 0.9 // share of the served count that is kept at each round of claims
)

// claimLoop claims chunks for the permits that have no items, and commits what was answered.
func (r *Runner) claimLoop(ctx context.Context) {
	ticker := time.NewTicker(claimPeriod)
	defer ticker.Stop()
	saved := time.Now()
	swept := time.Now()
	unheld := map[string]bool{}
	rest := 0
	for {
		rest--
		if wanted := r.wanted(); rest <= 0 && len(wanted) > 0 && r.mayClaim() && r.claimSome(ctx, wanted) == 0 {
			rest = emptyRounds
		}
		if time.Since(saved) >= commitPeriod {
			saved = time.Now()
			r.startSaving(ctx)
		}
		if time.Since(swept) >= sweepPeriod {
			swept = time.Now()
			unheld = r.freeUnheld(ctx, unheld)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) mayClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopping && r.options.Member.InForce()
}

// claimSome claims chunks for the wanted services and returns how many.
func (r *Runner) claimSome(ctx context.Context, wanted map[string]int) int {
	limited, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	claimed := r.claimFree(ctx, limited, wanted)
	offers, err := r.offers(limited, wanted)
	if err != nil {
		return claimed
	}
	r.order(offers)
	for _, o := range offers {
		if wanted[o.Open.Service] <= 0 || claimed >= readyChunks {
			continue
		}
		items, err := r.claimAgain(ctx, limited, o)
		if errors.Is(err, wharfrow.ErrConflict) {
			continue
		}
		if err != nil {
			klog.V(1).InfoS("chunk not claimed", "job", o.Open.Job, "error", err.Error())
			return claimed
		}
		claimed++
		wanted[o.Open.Service] -= items
	}
	return claimed
}

// claimFree takes claims that nobody holds any more, which are older than what the open jobs still offer.
func (r *Runner) claimFree(work, ctx context.Context, wanted map[string]int) int {
	free, err := r.options.Storage.Scan(ctx, wharfjob.OwnerPrefix(wharfjob.Unclaimed(r.options.Zone)), "", freePage)
	if err != nil {
		return 0
	}
	claimed := 0
	for _, row := range free {
		var claim wharfjob.Claim
		if err := json.Unmarshal(row.Value, &claim); err != nil {
			klog.ErrorS(err, "claim can not be read; its chunk waits", "claim", row.Key, "row-version", row.Version)
			continue
		}
		if wanted[claim.Service] <= 0 || claimed >= readyChunks {
			continue
		}
		items, err := r.adopt(work, ctx, row, claim)
		if err != nil {
			klog.V(1).InfoS("claim not adopted", "claim", row.Key, "error", err.Error())
			continue
		}
		claimed++
		wanted[claim.Service] -= items
	}
	return claimed
}

// order puts the organisation first that was served least for its weight, and its most urgent job;
// jobs that are late or nearly so come before all.
func (r *Runner) order(offers []Offer) {
	config := r.options.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := map[string]float64{}
	for organisation, count := range r.served {
		weight := 1.0
		if o := config.Organisations[organisation]; o != nil {
			weight = o.Weight
		}
		due[organisation] = count / weight
		r.served[organisation] = count * served
	}
	now := time.Now()
	rand.Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
	slices.SortStableFunc(offers, func(a, b Offer) int {
		return cmp.Or(
			-boolCompare(urgent(a, now), urgent(b, now)),
			cmp.Compare(due[a.Open.Organisation], due[b.Open.Organisation]),
			a.Open.Deadline.Compare(b.Open.Deadline))
	})
}

func urgent(o Offer, now time.Time) bool {
	const itemTime = 100 * time.Millisecond
	left := o.Open.Chunks - o.Open.Next
	need := time.Duration(o.Open.Items*left/max(1, o.Open.Chunks)) * itemTime
	return o.Open.Deadline.Sub(now) < need
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// claimAgain claims from a job that others may claim from at the same time: after a conflict it reads the row anew.
func (r *Runner) claimAgain(work, ctx context.Context, o Offer) (int, error) {
	for try := 1; ; try++ {
		items, err := r.claim(work, ctx, o)
		if try == claimTries || !errors.Is(err, wharfrow.ErrConflict) {
			return items, err
		}
		open, version, err := wharfstorage.Read[wharfjob.Open](ctx, r.options.Storage, wharfjob.OpenKey(o.Open.Job))
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if version == 0 || version == o.Version || open.Next >= open.Chunks {
			return 0, trace.Wrap(wharfrow.ErrConflict)
		}
		o = Offer{Open: open, Version: version}
	}
}

// claim commits this incarnation as the owner of a job's next chunk and queues its items, which run until work ends.
func (r *Runner) claim(work, ctx context.Context, o Offer) (int, error) {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return 0, trace.Wrap(wharfrow.ErrConflict)
	}
	claim := wharfjob.Claim{Job: o.Open.Job, FileID: o.Open.FileID, Service: o.Open.Service, Chunk: o.Open.Next}
	key := wharfjob.ClaimKey(r.owner(view), claim.Job, claim.Chunk)
	next := o.Open
	next.Next++
	conditions := []wharfrow.Condition{
		wharfstorage.At(wharfjob.OpenKey(claim.Job), o.Version),
		wharfstorage.At(key, 0),
	}
	err := wharfstorage.Commit(ctx, r.options.Storage, conditions,
		wharfstorage.Put(wharfjob.OpenKey(claim.Job), next),
		wharfstorage.Put(key, claim))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return r.load(work, ctx, o.Open, claim, key)
}

// load reads the items of a claim and queues those that have no committed result.
func (r *Runner) load(work, ctx context.Context, open wharfjob.Open, claim wharfjob.Claim, key string) (int, error) {
	row, err := r.options.Storage.Get(ctx, key)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	job, jobVersion, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(claim.Job))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if row.Version == 0 || job.State != wharfjob.InProgress {
		return 0, trace.Wrap(wharfrow.ErrConflict)
	}
	data, err := r.options.Storage.GetObject(ctx, wharfjob.InputObject(claim.FileID, claim.Chunk))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	open.JobVersion = jobVersion
	c := newChunk(work, open, claim, key, row.Version)
	items, err := c.items(data)
	if err != nil {
		c.stop()
		return 0, trace.Wrap(err)
	}
	r.admit(c, items)
	if len(items) == 0 {
		r.complete(work, c)
	}
	return len(items), nil
}

func (r *Runner) admit(c *chunk, items []*item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.left = len(items)
	r.chunks[c] = struct{}{}
	q := r.queueOf(c.open.Service)
	for _, it := range items {
		q.push(it)
	}
	r.signal()
}

// drop ends the work on a chunk that is this host's no more, or whose job has ended.
func (r *Runner) drop(c *chunk) {
	c.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.chunks, c)
	r.queueOf(c.open.Service).drop(c)
}

// freeUnheld frees the claims of this incarnation that it did not hold at the last sweep either, since their
// loading has failed, and returns those that it does not hold now.
func (r *Runner) freeUnheld(ctx context.Context, before map[string]bool) map[string]bool {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	held := map[string]bool{}
	for _, c := range r.held() {
		held[wharfjob.ClaimKey(r.owner(view), c.open.Job, c.number)] = true
	}
	unheld := map[string]bool{}
	_ = wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.OwnerPrefix(r.owner(view)), func(row wharfrow.Row) error {
		switch {
		case held[row.Key]:
		case before[row.Key]:
			return r.free(ctx, row)
		default:
			unheld[row.Key] = true
		}
		return nil
	})
	return unheld
}

func (r *Runner) owner(view *wharfmember.View) wharfjob.Owner {
	return wharfjob.Owner{Zone: r.options.Zone, Host: view.Self.Host, Epoch: view.Self.Epoch}
}

// isFirst reports whether this host ranks first in its zone for a piece of housekeeping.
func (r *Runner) isFirst(task string) bool {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return false
	}
	return wharfrank.First(task, view.LiveHosts()) == view.Self.Host
}
