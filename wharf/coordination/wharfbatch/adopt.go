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
	adoptLimit  = 20 * time.Second
	staleAfter  = 4 * beatPeriod
	mostAdopted = 8 // claims in one round
)

type sighting struct {
	version uint64
	since   time.Time
}

// adoptLoop has one host of the zone take over the chunks of incarnations that are gone, and end jobs whose last
// commit nobody followed up. A claim that has not changed for long is taken over from any zone: the table sees
// to it that only one owner can complete it.
func (r *Runner) adoptLoop(ctx context.Context) {
	ticker := time.NewTicker(adoptPeriod)
	defer ticker.Stop()
	seen := map[string]sighting{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if r.mayClaim() && r.isFirst("adopt") {
			r.adoptSome(ctx, seen)
			r.endJobs(ctx)
		}
	}
}

func (r *Runner) adoptSome(ctx context.Context, seen map[string]sighting) {
	work := ctx
	ctx, cancel := context.WithTimeout(ctx, adoptLimit)
	defer cancel()
	zones, err := wharfmember.Zones(ctx, r.options.Storage)
	if err != nil {
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
		return
	}
	for key := range seen {
		if !present[key] {
			delete(seen, key)
		}
	}
	for _, row := range orphans[:min(len(orphans), mostAdopted)] {
		if err := r.adopt(work, ctx, row); err != nil {
			klog.V(1).InfoS("claim not adopted", "claim", row.Key, "error", err.Error())
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
	if owner.Zone != r.options.Zone {
		return false
	}
	for i := range zones {
		if zones[i].Name == owner.Zone {
			return !zones[i].Holds(owner.Host, owner.Epoch)
		}
	}
	return true
}

// adopt moves a claim, with the results committed so far, to this incarnation.
func (r *Runner) adopt(work, ctx context.Context, row wharfrow.Row) error {
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return nil
	}
	var claim wharfjob.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return trace.Wrap(err)
	}
	job, _, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(claim.Job))
	if err != nil {
		return trace.Wrap(err)
	}
	conditions := []wharfrow.Condition{wharfstorage.At(row.Key, row.Version)}
	if job.State != wharfjob.InProgress {
		return trace.Wrap(wharfstorage.Commit(ctx, r.options.Storage, conditions, wharfstorage.Delete(row.Key)))
	}
	owner := wharfjob.Owner{Zone: r.options.Zone, Host: view.Self.Host, Epoch: view.Self.Epoch}
	key := wharfjob.ClaimKey(owner, claim.Job, claim.Chunk)
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions,
		wharfstorage.Delete(row.Key), wharfstorage.Put(key, claim))
	if err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("claim adopted", "job", claim.Job, "chunk", claim.Chunk, "from", row.Key)
	open := wharfjob.Open{Job: job.ID, Organisation: job.Organisation, FileID: job.FileID, Service: job.Service, Deadline: job.Deadline}
	_, err = r.load(work, ctx, open, claim, key)
	return trace.Wrap(err)
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
