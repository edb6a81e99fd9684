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
	releasedPageSize = 100 // released claims that one round reads
	maxClaimAttempts = 4
	idleRounds       = 5 // rounds to skip after one that found nothing to claim
	releaseInterval  = 2 * claimTimeout
	servedDecay      = 0.9 // factor applied to the served counts in each round of claims
)

// claimLoop claims chunks for permits without queued items, commits results, and releases claims that failed to load.
func (r *Runner) claimLoop(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	lastCommit := time.Now()
	lastRelease := time.Now()
	unheld := map[string]bool{}
	skip := 0
	for {
		skip--
		if demand := r.demand(); skip <= 0 && len(demand) > 0 && r.canClaim() && r.claimChunks(ctx, demand) == 0 {
			skip = idleRounds
		}
		if time.Since(lastCommit) >= commitInterval {
			lastCommit = time.Now()
			r.startCommit(ctx)
		}
		if time.Since(lastRelease) >= releaseInterval {
			lastRelease = time.Now()
			unheld = r.releaseUnheld(ctx, unheld)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) canClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopping && r.options.Member.InForce()
}

// claimChunks claims chunks of the services with demand and returns the number of claimed chunks.
func (r *Runner) claimChunks(ctx context.Context, demand map[string]int) int {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claimed := r.claimReleased(ctx, limited, demand)
	offers, err := r.offers(limited, demand)
	if err != nil {
		return claimed
	}
	r.sortOffers(offers)
	for _, o := range offers {
		if demand[o.Open.Service] <= 0 || claimed >= maxClaimsPerRound {
			continue
		}
		items, err := r.claimWithRetry(ctx, limited, o)
		if errors.Is(err, wharfrow.ErrConflict) {
			continue
		}
		if err != nil {
			klog.V(1).InfoS("failed to claim chunk", "job", o.Open.Job, "error", err.Error())
			return claimed
		}
		claimed++
		demand[o.Open.Service] -= items
	}
	return claimed
}

// claimReleased adopts the zone's released claims, which are older than the unclaimed chunks of the open jobs.
func (r *Runner) claimReleased(workCtx, ctx context.Context, demand map[string]int) int {
	released, err := r.options.Storage.Scan(ctx, wharfjob.OwnerPrefix(wharfjob.Unclaimed(r.options.Zone)), "",
		releasedPageSize)
	if err != nil {
		return 0
	}
	claimed := 0
	for _, row := range released {
		var claim wharfjob.Claim
		if err := json.Unmarshal(row.Value, &claim); err != nil {
			klog.ErrorS(err, "failed to decode claim; its chunk stays unclaimed", "claim", row.Key,
				"row-version", row.Version)
			continue
		}
		if demand[claim.Service] <= 0 || claimed >= maxClaimsPerRound {
			continue
		}
		items, err := r.adopt(workCtx, ctx, row, claim)
		if err != nil {
			klog.V(1).InfoS("failed to adopt claim", "claim", row.Key, "error", err.Error())
			continue
		}
		claimed++
		demand[claim.Service] -= items
	}
	return claimed
}

// sortOffers sorts offers by weighted fairness: the organisation that was served least for its weight comes first, with
// its job of the earliest deadline. Jobs that are late or about to be come before all others.
func (r *Runner) sortOffers(offers []Offer) {
	config := r.options.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	usage := map[string]float64{}
	for organisation, count := range r.servedItems {
		weight := 1.0
		if o := config.Organisations[organisation]; o != nil {
			weight = o.Weight
		}
		usage[organisation] = count / weight
		r.servedItems[organisation] = count * servedDecay
	}
	now := time.Now()
	rand.Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
	slices.SortStableFunc(offers, func(a, b Offer) int {
		return cmp.Or(
			-compareBool(isUrgent(a, now), isUrgent(b, now)),
			cmp.Compare(usage[a.Open.Organisation], usage[b.Open.Organisation]),
			a.Open.Deadline.Compare(b.Open.Deadline))
	})
}

func isUrgent(o Offer, now time.Time) bool {
	const itemTime = 100 * time.Millisecond
	left := o.Open.Chunks - o.Open.Next
	need := time.Duration(o.Open.Items*left/max(1, o.Open.Chunks)) * itemTime
	return o.Open.Deadline.Sub(now) < need
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// claimWithRetry claims a chunk of a job from which other hosts may claim concurrently: after a conflict it reads the
// job's row again and retries, up to maxClaimAttempts.
func (r *Runner) claimWithRetry(workCtx, ctx context.Context, o Offer) (int, error) {
	for attempt := 1; ; attempt++ {
		items, err := r.claim(workCtx, ctx, o)
		if attempt == maxClaimAttempts || !errors.Is(err, wharfrow.ErrConflict) {
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

// claim commits this incarnation as the owner of a job's next chunk and queues its items, which run until workCtx ends.
func (r *Runner) claim(workCtx, ctx context.Context, o Offer) (int, error) {
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
	return r.loadClaim(workCtx, ctx, o.Open, claim, key)
}

// loadClaim reads the items of a claim, queues those that have no committed result and returns their number.
func (r *Runner) loadClaim(
	workCtx, ctx context.Context, open wharfjob.Open, claim wharfjob.Claim, key string,
) (int, error) {
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
	c := newChunk(workCtx, open, claim, key, row.Version)
	items, err := c.items(data)
	if err != nil {
		c.stop()
		return 0, trace.Wrap(err)
	}
	r.addChunk(c, items)
	if len(items) == 0 {
		r.completeChunk(workCtx, c)
	}
	return len(items), nil
}

func (r *Runner) addChunk(c *chunk, items []*item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.remaining = len(items)
	r.chunks[c] = struct{}{}
	q := r.queueOf(c.open.Service)
	for _, it := range items {
		q.push(it)
	}
	r.signal()
}

// dropChunk stops work on a chunk that this host no longer owns, or whose job has ended.
func (r *Runner) dropChunk(c *chunk) {
	c.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.chunks, c)
	r.queueOf(c.open.Service).drop(c)
}

// releaseUnheld releases the claims of this incarnation for which it has had no chunk since the previous call, because
// loading them failed. It returns the claims without a chunk now, to be passed as before to the next call.
func (r *Runner) releaseUnheld(ctx context.Context, before map[string]bool) map[string]bool {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held := map[string]bool{}
	for _, c := range r.heldChunks() {
		held[wharfjob.ClaimKey(r.owner(view), c.open.Job, c.number)] = true
	}
	unheld := map[string]bool{}
	_ = wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.OwnerPrefix(r.owner(view)), func(row wharfrow.Row) error {
		switch {
		case held[row.Key]:
		case before[row.Key]:
			return r.releaseClaim(ctx, row)
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

// isLeader reports whether this host ranks first in its zone for a maintenance task.
func (r *Runner) isLeader(task string) bool {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return false
	}
	return wharfrank.First(task, view.LiveHosts()) == view.Self.Host
}
