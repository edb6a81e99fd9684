package wharfbatch

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	heartbeatInterval = 15 * time.Second
	minCommitBackoff  = 500 * time.Millisecond
	maxCommitBackoff  = 5 * time.Second
)

// startCommit runs commitAll in the background, unless the previous run has not ended because the store is slow.
func (r *Runner) startCommit(ctx context.Context) {
	if !r.committing.CompareAndSwap(false, true) {
		return
	}
	r.goroutines.Go(func() {
		defer r.committing.Store(false)
		r.commitAll(ctx)
	})
}

// commitAll commits the new results and failures of every chunk, so that a crash loses little work, and releases the chunks of
// services for which this host no longer schedules any endpoint.
func (r *Runner) commitAll(ctx context.Context) {
	services := r.services()
	for _, c := range r.heldChunks() {
		switch {
		case ctx.Err() != nil:
			return
		case c.ctx.Err() != nil:
		case services != nil && !services[c.open.Service]:
			r.releaseChunk(ctx, c)
		case r.needsCommit(c):
			_ = r.commitChunk(ctx, c, wharfjob.Owner{})
		}
	}
}

// releaseChunk commits a chunk's results and releases its claim to the zone's other hosts.
func (r *Runner) releaseChunk(ctx context.Context, c *chunk) {
	if err := r.commitChunk(ctx, c, wharfjob.Unclaimed(r.options.Zone)); err != nil {
		klog.V(1).InfoS("failed to release chunk", "job", c.open.Job, "chunk", c.number, "error", err.Error())
		return
	}
	r.dropChunk(c)
}

// services returns the services for which this host schedules an endpoint, or nil if its membership is not in force.
func (r *Runner) services() map[string]bool {
	if !r.options.Member.InForce() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]bool{}
	for _, e := range r.endpoints {
		if e.owned {
			services[e.config.Service] = true
		}
	}
	return services
}

func (r *Runner) needsCommit(c *chunk) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := time.Now().Unix()-c.claim.Heartbeat > int64(heartbeatInterval/time.Second)
	return c.remaining > 0 && (len(c.uncommitted) > 0 || stale || !maps.Equal(c.attempts, c.claim.Attempts))
}

// commitChunk commits the chunk's results so far and, unless owner is zero, moves the claim to owner.
func (r *Runner) commitChunk(ctx context.Context, c *chunk, owner wharfjob.Owner) error {
	if !c.lock(ctx) {
		return trace.Wrap(ctx.Err())
	}
	defer c.unlock()
	claim, err := r.storeResults(ctx, c)
	if err != nil {
		return trace.Wrap(err)
	}
	key := c.key
	conditions := r.conditions(c)
	writes := []wharfrow.Write{}
	if owner.Host != "" {
		key = wharfjob.ClaimKey(owner, c.open.Job, c.number)
		writes = append(writes, wharfstorage.Delete(c.key))
	}
	writes = append(writes, wharfstorage.Put(key, claim))
	if err := wharfstorage.Commit(ctx, r.options.Storage, conditions, writes...); err != nil {
		return trace.Wrap(r.handleConflict(c, err))
	}
	row, err := r.options.Storage.Get(ctx, key)
	if err != nil {
		r.dropChunk(c)
		return trace.Wrap(err)
	}
	if row.Version == 0 {
		return trace.Wrap(r.handleConflict(c, wharfrow.ErrConflict))
	}
	c.key = key
	c.version = row.Version
	return nil
}

func (c *chunk) lock(ctx context.Context) bool {
	select {
	case <-c.commitToken:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *chunk) unlock() {
	c.commitToken <- struct{}{}
}

// storeResults stores the uncommitted results in an object and returns the claim with that object and the failures so far.
func (r *Runner) storeResults(ctx context.Context, c *chunk) (wharfjob.Claim, error) {
	r.mu.Lock()
	results := c.uncommitted
	c.uncommitted = nil
	claim := c.claim
	claim.Attempts = maps.Clone(c.attempts)
	r.mu.Unlock()
	claim.Heartbeat = time.Now().Unix()
	if len(results) > 0 {
		object := wharfjob.ResultObject(c.open.Job, c.number, uuid.NewString())
		part, data := encodePart(results, object)
		if err := r.options.Storage.PutObject(ctx, object, data); err != nil {
			r.restoreResults(c, results)
			return claim, trace.Wrap(err)
		}
		claim.Parts = append(claim.Parts[:len(claim.Parts):len(claim.Parts)], part)
	}
	r.mu.Lock()
	c.claim = claim
	r.mu.Unlock()
	return claim, nil
}

func (r *Runner) restoreResults(c *chunk, results []itemResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.uncommitted = append(results, c.uncommitted...)
}

func (r *Runner) conditions(c *chunk) []wharfrow.Condition {
	return []wharfrow.Condition{
		wharfstorage.At(c.key, c.version),
		wharfstorage.At(wharfjob.JobKey(c.open.Job), c.open.JobVersion),
	}
}

// handleConflict drops a chunk whose commit had a conflict: its job has ended or another host has adopted it. It
// returns err.
func (r *Runner) handleConflict(c *chunk, err error) error {
	if errors.Is(err, wharfrow.ErrConflict) {
		klog.V(1).InfoS("chunk lost", "job", c.open.Job, "chunk", c.number)
		r.dropChunk(c)
	}
	return err
}

// completeChunk commits the chunk as completed, with retries during an outage, and then completes the job if this was
// its last chunk.
func (r *Runner) completeChunk(ctx context.Context, c *chunk) {
	for pause := minCommitBackoff; ; pause = min(2*pause, maxCommitBackoff) {
		err := r.commitDone(ctx, c)
		if err == nil {
			r.dropChunk(c)
			r.completeJob(ctx, c.open.Job)
			return
		}
		if errors.Is(err, wharfrow.ErrConflict) || c.ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) commitDone(ctx context.Context, c *chunk) error {
	if !c.lock(ctx) {
		return trace.Wrap(ctx.Err())
	}
	defer c.unlock()
	claim, err := r.storeResults(ctx, c)
	if err != nil {
		return trace.Wrap(err)
	}
	doneKey := wharfjob.DoneKey(c.open.Job, c.number)
	conditions := append(r.conditions(c), wharfstorage.At(doneKey, 0))
	done := wharfjob.Done{Parts: claim.Parts}
	for i := range done.Parts {
		done.Parts[i].Items = nil
	}
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions,
		wharfstorage.Put(doneKey, done), wharfstorage.Delete(c.key))
	return trace.Wrap(r.handleConflict(c, err))
}

// completeJob marks a job as completed if all of its chunks are completed.
func (r *Runner) completeJob(ctx context.Context, id string) {
	open, openVersion, err := wharfstorage.Read[wharfjob.Open](ctx, r.options.Storage, wharfjob.OpenKey(id))
	if err != nil || openVersion == 0 || open.Next < open.Chunks {
		return
	}
	job, version, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(id))
	if err != nil || job.State != wharfjob.InProgress {
		return
	}
	done, err := r.countResults(ctx, &job)
	if err != nil || done < job.Chunks {
		return
	}
	job.State = wharfjob.Completed
	job.EndedAt = time.Now().UTC()
	conditions := []wharfrow.Condition{wharfstorage.At(wharfjob.JobKey(id), version)}
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions,
		wharfstorage.Put(wharfjob.JobKey(id), job), wharfstorage.Delete(wharfjob.OpenKey(id)))
	if err == nil {
		klog.InfoS("job completed", "job", id, "completed", job.Completed, "failed", job.Failed)
	}
}
