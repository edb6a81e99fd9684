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

// Close stops all items and gives the jobs up with what the items have brought, so that other hosts run them.
func (r *Runner) Close(ctx context.Context) {
	r.mu.Lock()
	r.closing = true
	var jobs []*work
	for _, w := range r.work {
		jobs = append(jobs, w)
		for _, i := range w.items {
			if i.cancel != nil {
				i.cancel()
			}
		}
	}
	r.mu.Unlock()
	for r.Running() > 0 && wharfpause.For(ctx, closePause) {
		continue
	}
	var releases sync.WaitGroup
	for _, w := range jobs {
		releases.Go(func() { r.release(ctx, w) })
	}
	releases.Wait()
}

// closePause is the pause between two looks whether the items that were stopped have ended.
const closePause = 5 * time.Millisecond

func (r *Runner) release(ctx context.Context, w *work) {
	job := r.flush(ctx, w)
	r.mu.Lock()
	progress := w.progress()
	r.mu.Unlock()
	err := r.options.Jobs.Release(ctx, job, progress)
	if err != nil && !errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		klog.InfoS("batch job not given up; other hosts take it once this one has ended", "request-id", job.ID, "error", err.Error())
		return
	}
	klog.InfoS("batch job given up", "request-id", job.ID, "organisation", job.Organisation, "handed-items", len(progress))
}

// progress returns what the items have brought that have no result.
func (w *work) progress() []wharftask.Progress {
	var progress []wharftask.Progress
	for _, i := range w.items {
		if i.finished || (i.events == 0 && i.failures == 0 && i.breaks == 0) {
			continue
		}
		progress = append(progress, wharftask.Progress{
			Item: i.index, Text: string(i.text), LastEvent: i.lastEvent, Events: i.events, Failures: i.failures, Disconnects: i.breaks,
		})
	}
	return progress
}

// flush lists the results that wait, before the job is given up.
func (r *Runner) flush(ctx context.Context, w *work) wharfjobstore.Job {
	r.mu.Lock()
	job := w.job
	results := resultsOf(w.done)
	r.mu.Unlock()
	if len(results) == 0 {
		return job
	}
	listed, err := r.options.Jobs.AppendResults(ctx, job, results)
	if err != nil && !errors.Is(err, wharfrecords.ErrUnavailable) {
		klog.InfoS("results not listed before leaving", "request-id", job.ID, "error", err.Error())
	}
	return listed
}
