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
	adoptPeriod = 2 * time.Second
	endRounds   = 5 // rounds between two looks for jobs that nobody has ended
	adoptLimit  = 20 * time.Second
	staleAfter  = 4 * beatPeriod
)

type sighting struct {
	version uint64
	since   time.Time
}

// adoptLoop has one host of the zone free the claims of incarnations that are gone, and end jobs whose last
// commit nobody followed up. A claim that has not changed for long is freed whatever its zone: the table sees
// to it that only one owner can complete it.
func (r *Runner) adoptLoop(ctx context.Context) {
	ticker := time.NewTicker(adoptPeriod)
	defer ticker.Stop()
	seen := map[string]sighting{}
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if r.mayClaim() && r.isFirst("adopt") {
			r.freeOrphans(ctx, seen)
			if round%endRounds == 0 {
				r.endJobs(ctx)
			}
		}
	}
}

func (r *Runner) freeOrphans(ctx context.Context, seen map[string]sighting) {
	ctx, cancel := context.WithTimeout(ctx, adoptLimit)
	defer cancel()
	zones, err := wharfmember.ListZones(ctx, r.options.Storage)
	if err != nil {
		klog.InfoS("members not read; orphaned chunks are looked for later", "error", err.Error())
		return
	}
	var orphans []wharfrow.Row
	present := map[string]bool{}
	err = wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.ClaimPrefix, func(row wharfrow.Row) error {
		present[row.Key] = true
		if r.orphaned(row, zones, seen) {
			orphans = append(orphans, row)
		}
		return nil
	})
	if err != nil {
		klog.InfoS("claims not read; orphaned chunks are looked for later", "error", err.Error())
		return
	}
	for key := range seen {
		if !present[key] {
			delete(seen, key)
		}
	}
	for _, row := range orphans {
		if err := r.free(ctx, row); err != nil {
			klog.V(1).InfoS("claim not freed", "claim", row.Key, "error", err.Error())
		}
	}
}

// orphaned reports that a claim's owner is gone from this zone, or that the claim has not changed for long.
func (r *Runner) orphaned(row wharfrow.Row, zones []wharfzone.Zone, seen map[string]sighting) bool {
	owner, ok := wharfjob.OwnerOf(row.Key)
	if !ok {
		return false
	}
	now := time.Now()
	last, known := seen[row.Key]
	if !known || last.version != row.Version {
		seen[row.Key] = sighting{version: row.Version, since: now}
	} else if now.Sub(last.since) > staleAfter {
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

// free moves a claim, with the results committed so far, to those that nobody holds, or drops it if its job has ended.
func (r *Runner) free(ctx context.Context, row wharfrow.Row) error {
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

// adopt takes a free claim for this incarnation and queues the items that have no committed result.
func (r *Runner) adopt(work, ctx context.Context, row wharfrow.Row, claim wharfjob.Claim) (int, error) {
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
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions, wharfstorage.Put(key, claim), wharfstorage.Delete(row.Key))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	klog.InfoS("claim adopted", "job", claim.Job, "chunk", claim.Chunk)
	open := wharfjob.Open{Job: job.ID, Organisation: job.Organisation, FileID: job.FileID, Service: job.Service, Deadline: job.Deadline}
	return r.load(work, ctx, open, claim, key)
}

// endJobs completes the jobs whose chunks are all done.
func (r *Runner) endJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adoptLimit)
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
		r.endJob(ctx, id)
	}
}

// countDone sums the results of a job's finished chunks into it and returns how many there are.
func (r *Runner) countDone(ctx context.Context, job *wharfjob.Job) (int, error) {
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
