package wharfbatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	beatPeriod   = 15 * time.Second
	commitRetry  = 500 * time.Millisecond
	largestRetry = 5 * time.Second
)

// startSaving saves beside the claims, unless the platform is so slow that the last time has not ended.
func (r *Runner) startSaving(ctx context.Context) {
	if !r.saving.CompareAndSwap(false, true) {
		return
	}
	r.work.Go(func() {
		defer r.saving.Store(false)
		r.saveAll(ctx)
	})
}

// saveAll commits the fresh results of every chunk, so that a kill costs little work, and gives back the chunks
// whose service this host runs on no endpoint any more.
func (r *Runner) saveAll(ctx context.Context) {
	services := r.services()
	for _, c := range r.held() {
		switch {
		case ctx.Err() != nil:
			return
		case c.ctx.Err() != nil:
		case services != nil && !services[c.open.Service]:
			r.giveBack(ctx, c)
		case r.hasFresh(c):
			_ = r.save(ctx, c, wharfjob.Owner{})
		}
	}
}

// giveBack frees a chunk for the zone's other hosts, with the results so far.
func (r *Runner) giveBack(ctx context.Context, c *chunk) {
	if err := r.save(ctx, c, wharfjob.Unclaimed(r.options.Zone)); err != nil {
		klog.V(1).InfoS("chunk not given back", "job", c.open.Job, "chunk", c.number, "error", err.Error())
		return
	}
	r.drop(c)
}

// services returns the services that have an endpoint here, or nil while that is not known.
func (r *Runner) services() map[string]bool {
	if !r.options.Member.InForce() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]bool{}
	for _, e := range r.endpoints {
		if e.mine {
			services[e.config.Service] = true
		}
	}
	return services
}

func (r *Runner) hasFresh(c *chunk) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := time.Now().Unix()-c.claim.Heartbeat > int64(beatPeriod/time.Second)
	return c.left > 0 && (len(c.fresh) > 0 || stale)
}

// save commits what the chunk has answered so far; a new owner, if given, is who holds the claim from then on.
func (r *Runner) save(ctx context.Context, c *chunk, owner wharfjob.Owner) error {
	if !c.lock(ctx) {
		return trace.Wrap(ctx.Err())
	}
	defer c.unlock()
	claim, err := r.store(ctx, c)
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
		return trace.Wrap(r.lose(c, err))
	}
	row, err := r.options.Storage.Get(ctx, key)
	if err != nil {
		r.drop(c)
		return trace.Wrap(err)
	}
	if row.Version == 0 {
		return trace.Wrap(r.lose(c, wharfrow.ErrConflict))
	}
	c.key = key
	c.version = row.Version
	return nil
}

func (c *chunk) lock(ctx context.Context) bool {
	select {
	case <-c.commits:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *chunk) unlock() {
	c.commits <- struct{}{}
}

// store puts fresh results into an object and returns the claim that names it.
func (r *Runner) store(ctx context.Context, c *chunk) (wharfjob.Claim, error) {
	r.mu.Lock()
	results := c.fresh
	c.fresh = nil
	claim := c.claim
	r.mu.Unlock()
	claim.Heartbeat = time.Now().Unix()
	if len(results) > 0 {
		object := wharfjob.ResultObject(c.open.Job, c.number, uuid.NewString())
		description, data := part(results, object)
		if err := r.options.Storage.PutObject(ctx, object, data); err != nil {
			r.putBack(c, results)
			return claim, trace.Wrap(err)
		}
		claim.Parts = append(claim.Parts[:len(claim.Parts):len(claim.Parts)], description)
	}
	r.mu.Lock()
	c.claim = claim
	r.mu.Unlock()
	return claim, nil
}

func (r *Runner) putBack(c *chunk, results []answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.fresh = append(results, c.fresh...)
}

func (r *Runner) conditions(c *chunk) []wharfrow.Condition {
	return []wharfrow.Condition{
		wharfstorage.At(c.key, c.version),
		wharfstorage.At(wharfjob.JobKey(c.open.Job), c.open.JobVersion),
	}
}

// lose drops a chunk whose commit was in conflict: its job has ended or another host has adopted it.
func (r *Runner) lose(c *chunk, err error) error {
	if errors.Is(err, wharfrow.ErrConflict) {
		klog.V(1).InfoS("chunk lost", "job", c.open.Job, "chunk", c.number)
		r.drop(c)
	}
	return err
}

// complete commits the chunk's results as done, again and again through an outage, and then looks whether the
// job has ended.
func (r *Runner) complete(ctx context.Context, c *chunk) {
	for pause := commitRetry; ; pause = min(2*pause, largestRetry) {
		err := r.commitDone(ctx, c)
		if err == nil {
			r.drop(c)
			r.endJob(ctx, c.open.Job)
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
	claim, err := r.store(ctx, c)
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
	return trace.Wrap(r.lose(c, err))
}

// endJob completes a job all of whose chunks are done.
func (r *Runner) endJob(ctx context.Context, id string) {
	open, openVersion, err := wharfstorage.Read[wharfjob.Open](ctx, r.options.Storage, wharfjob.OpenKey(id))
	if err != nil || openVersion == 0 || open.Next < open.Chunks {
		return
	}
	job, version, err := wharfstorage.Read[wharfjob.Job](ctx, r.options.Storage, wharfjob.JobKey(id))
	if err != nil || job.State != wharfjob.InProgress {
		return
	}
	done, err := r.countDone(ctx, &job)
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
