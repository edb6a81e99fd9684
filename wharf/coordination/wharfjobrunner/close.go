package wharfjobrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharftask"
)

// Close stops all running items and releases the jobs together with their items' progress, so that other hosts can run
// them.
func (r *Runner) Close(ctx context.Context) {
	r.mu.Lock()
	r.closing = true
	var jobs []*activeJob
	for _, aj := range r.jobs {
		jobs = append(jobs, aj)
		for _, i := range aj.items {
			if i.cancel != nil {
				i.cancel()
			}
		}
	}
	r.mu.Unlock()
	for r.Running() > 0 && wharfpause.For(ctx, closePollInterval) {
		continue
	}
	var releases sync.WaitGroup
	for _, aj := range jobs {
		releases.Go(func() { r.release(ctx, aj) })
	}
	releases.Wait()
}

// closePollInterval is the time between two checks whether the stopped items have ended.
const closePollInterval = 5 * time.Millisecond

func (r *Runner) release(ctx context.Context, aj *activeJob) {
	job := r.writeRemaining(ctx, aj)
	r.mu.Lock()
	progress := aj.progress()
	r.mu.Unlock()
	err := r.options.Jobs.Release(ctx, job, progress)
	if err != nil && !errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		klog.InfoS("failed to release batch job; other hosts adopt it after this host ends", "request-id", job.ID,
			"error", err.Error())
		return
	}
	klog.InfoS("batch job released", "request-id", job.ID, "organisation", job.Organisation,
		"handed-items", len(progress))
}

// progress returns the progress of the items that have no result yet.
func (aj *activeJob) progress() []wharftask.Progress {
	var progress []wharftask.Progress
	for _, i := range aj.items {
		if i.finished || (i.events == 0 && i.failures == 0 && i.disconnects == 0) {
			continue
		}
		progress = append(progress, wharftask.Progress{
			Item: i.index, Text: string(i.text), LastEvent: i.lastEvent, Events: i.events, Failures: i.failures,
			Disconnects: i.disconnects, Origin: i.origin,
		})
	}
	return progress
}

// writeRemaining writes the pending results and failures before the job is released.
func (r *Runner) writeRemaining(ctx context.Context, aj *activeJob) wharfjobstore.Job {
	r.mu.Lock()
	job := aj.job
	results, failures := resultsOf(aj.pendingResults), aj.unrecordedFailures()
	r.mu.Unlock()
	var err error
	if len(results) > 0 {
		job, err = r.options.Jobs.AppendResults(ctx, job, results)
	}
	if len(failures) > 0 && err == nil {
		job, err = r.options.Jobs.RecordFailures(ctx, job, failures)
	}
	if err != nil && !errors.Is(err, wharfrecords.ErrUnavailable) {
		klog.InfoS("failed to write results before leaving", "request-id", job.ID, "error", err.Error())
	}
	return job
}
