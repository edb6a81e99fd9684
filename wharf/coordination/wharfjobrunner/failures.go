package wharfjobrunner

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

// hasUnrecordedFailures reports whether the item has failures that are not in the store. It does not run again before they are:
// the next owner, if this host is killed, would not count them. The caller holds Runner.mu.
func (i *item) hasUnrecordedFailures() bool {
	return !i.finished && i.failures > i.recorded
}

// unrecordedFailures returns the number of failures of each item with unrecorded ones. The caller holds Runner.mu.
func (aj *activeJob) unrecordedFailures() map[int]int {
	var failures map[int]int
	for _, i := range aj.items {
		if !i.hasUnrecordedFailures() {
			continue
		}
		if failures == nil {
			failures = map[int]int{}
		}
		failures[i.index] = i.failures
	}
	return failures
}

// flushFailures writes the failures of items to the rows of their jobs.
func (r *Runner) flushFailures(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, aj := range r.jobs {
		if aj.writing || aj.loading || time.Now().Before(aj.writeAfter) {
			continue
		}
		failures := aj.unrecordedFailures()
		if len(failures) == 0 {
			continue
		}
		aj.writing = true
		r.goroutines.Go(func() { r.writeFailures(ctx, aj, failures) })
	}
}

func (r *Runner) writeFailures(ctx context.Context, aj *activeJob, failures map[int]int) {
	r.mu.Lock()
	job := aj.job
	r.mu.Unlock()
	updated, err := r.options.Jobs.RecordFailures(ctx, job, failures)
	r.mu.Lock()
	defer r.mu.Unlock()
	aj.writing = false
	if errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		return // the job is dropped when its new row is seen
	}
	if updated.Version > aj.job.Version {
		aj.job = updated
	}
	if errors.Is(err, wharfrecords.ErrRejected) {
		klog.ErrorS(err, "failures of batch items can't be stored; the next owner does not count them", "request-id", job.ID,
			"organisation", job.Organisation, "items", len(failures))
		err = nil
	}
	if err != nil {
		aj.backOff()
		klog.InfoS("failed to record failures of batch items; retrying", "request-id", job.ID, "items", len(failures),
			"error", err.Error())
		return
	}
	aj.writeBackoff = 0
	for _, i := range aj.items {
		i.recorded = max(i.recorded, failures[i.index])
	}
}

// backOff delays the next write after one that failed. The caller holds Runner.mu.
func (aj *activeJob) backOff() {
	aj.writeBackoff = min(max(minWriteBackoff, 2*aj.writeBackoff), maxWriteBackoff)
	aj.writeAfter = time.Now().Add(aj.writeBackoff)
}
