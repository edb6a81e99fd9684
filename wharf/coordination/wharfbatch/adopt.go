package wharfbatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	adoptInterval  = 2 * time.Second
	completeRounds = 5 // rounds between two checks for jobs left to complete
	adoptTimeout   = 20 * time.Second
	staleClaimAge  = 4 * heartbeatInterval
)

// observation is the version of a claim when it was last scanned, and the time since which it has not changed.
type observation struct {
	version uint64
	since   time.Time
}

// adoptLoop releases the claims of incarnations that have left the zone, and completes jobs whose last chunk was
// committed by a host that ended before it completed the job. One host of the zone does this. A claim that has not
// changed for staleClaimAge is released whatever its zone: the conditions of the commits ensure that only one owner
// can complete its chunk.
func (r *Runner) adoptLoop(ctx context.Context) {
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	seen := map[string]observation{}
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if r.canClaim() && r.isLeader("adopt") {
			r.releaseOrphans(ctx, seen)
			if round%completeRounds == 0 {
				r.completeJobs(ctx)
			}
		}
	}
}

func (r *Runner) releaseOrphans(ctx context.Context, seen map[string]observation) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	zones, err := wharfmember.ListZones(ctx, r.options.Storage)
	if err != nil {
		klog.InfoS("failed to read zone members; orphaned chunks are checked later", "error", err.Error())
		return
	}
	var orphans []wharfrow.Row
	existing := map[string]bool{}
	err = wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.ClaimPrefix, func(row wharfrow.Row) error {
		existing[row.Key] = true
		if r.orphaned(row, zones, seen) {
			orphans = append(orphans, row)
		}
		return nil
	})
	if err != nil {
		klog.InfoS("failed to read claims; orphaned chunks are checked later", "error", err.Error())
		return
	}
	for key := range seen {
		if !existing[key] {
			delete(seen, key)
		}
	}
	for _, row := range orphans {
		if err := r.releaseClaim(ctx, row); err != nil {
			klog.V(1).InfoS("failed to release claim", "claim", row.Key, "error", err.Error())
		}
	}
}

// orphaned reports whether a claim's owner has left this zone, or the claim has not changed for staleClaimAge.
func (r *Runner) orphaned(row wharfrow.Row, zones []wharfzone.Zone, seen map[string]observation) bool {
	owner, ok := wharfjob.OwnerOf(row.Key)
	if !ok {
		return false
	}
	now := time.Now()
	last, known := seen[row.Key]
	if !known || last.version != row.Version {
		seen[row.Key] = observation{version: row.Version, since: now}
	} else if now.Sub(last.since) > staleClaimAge {
		return true
	}
	if owner.Zone != r.options.Zone || owner == wharfjob.Unclaimed(owner.Zone) {
		return false
	}
	for i := range zones {
		if zones[i].Name == owner.Zone {
			return !zones[i].HasMember(owner.Host, owner.Epoch)
		}
	}
	return true
}

// releaseClaim moves a claim, with the results committed so far, to the zone's claims without an owner, or deletes it
// if its job has ended.
func (r *Runner) releaseClaim(ctx context.Context, row wharfrow.Row) error {
	var claim wharfjob.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return trace.Wrap(err)
	}
	job, _, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(claim.Job))
	if err != nil {
		return trace.Wrap(err)
	}
	writes := []wharfrow.Write{wharfstorage.Delete(row.Key)}
	if job.State == wharfjob.InProgress {
		key := wharfjob.ClaimKey(wharfjob.Unclaimed(r.options.Zone), claim.Job, claim.Chunk)
		writes = append(writes, wharfstorage.Put(key, claim))
	}
	conditions := []wharfrow.Condition{wharfstorage.At(row.Key, row.Version)}
	return trace.Wrap(wharfstorage.Commit(ctx, r.options.Storage, conditions, writes...))
}

// adopt makes this incarnation the owner of a released claim and queues the items that have no committed result, which
// run until workCtx ends. It returns the number of queued items.
func (r *Runner) adopt(workCtx, ctx context.Context, row wharfrow.Row, claim wharfjob.Claim) (int, error) {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return 0, trace.Wrap(wharfrow.ErrConflict)
	}
	job, _, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(claim.Job))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	key := wharfjob.ClaimKey(r.owner(view), claim.Job, claim.Chunk)
	conditions := []wharfrow.Condition{wharfstorage.At(row.Key, row.Version)}
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions, wharfstorage.Put(key, claim),
		wharfstorage.Delete(row.Key))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	klog.InfoS("claim adopted", "job", claim.Job, "chunk", claim.Chunk)
	open := wharfjob.Open{
		Job: job.ID, Organisation: job.Organisation, FileID: job.FileID, Service: job.Service, Deadline: job.Deadline,
	}
	return r.loadClaim(workCtx, ctx, open, claim, key)
}

// completeJobs completes the jobs whose chunks have all been completed.
func (r *Runner) completeJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var ids []string
	_ = wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.OpenPrefix, func(row wharfrow.Row) error {
		var open wharfjob.Open
		if err := json.Unmarshal(row.Value, &open); err != nil {
			return trace.Wrap(err)
		}
		if open.Next >= open.Chunks {
			ids = append(ids, open.Job)
		}
		return nil
	})
	for _, id := range ids {
		r.completeJob(ctx, id)
	}
}

// countResults sums up the results of a job's completed chunks in job and returns the number of those chunks.
func (r *Runner) countResults(ctx context.Context, job *wharfjob.Job) (int, error) {
	chunks := 0
	job.Completed = 0
	job.Failed = 0
	err := wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.DonePrefix(job.ID), func(row wharfrow.Row) error {
		var done wharfjob.Done
		if err := json.Unmarshal(row.Value, &done); err != nil {
			return trace.Wrap(err)
		}
		chunks++
		for _, part := range done.Parts {
			job.Completed += part.Completed
			job.Failed += part.Failed
		}
		return nil
	})
	return chunks, trace.Wrap(err)
}
