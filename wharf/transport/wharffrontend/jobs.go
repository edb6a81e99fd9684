package wharffrontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	// storeLimit bounds the tries of the store for one request: a short outage passes within it, and a caller that is
	// refused after it has time for another host.
	storeLimit = 1500 * time.Millisecond
	// questionLimit is the same for a question about a job, which is asked again soon.
	questionLimit = 600 * time.Millisecond
	// maxPage is the largest page of results in bytes; the rest is for what stands around them.
	maxPage = 900 << 10
	// mostItems is the largest number of items of a job.
	mostItems = 200
)

var (
	errJobTooLarge   = wharfrefusal.New(http.StatusRequestEntityTooLarge, "too-many-items", "a batch job has from 1 to 200 items")
	errTooMuch       = wharfrefusal.New(http.StatusTooManyRequests, "too-much-waiting", "the organisation has too many tokens waiting; come back later")
	errStore         = wharfrefusal.New(http.StatusServiceUnavailable, "store-unavailable", "the store does not answer at present; come back later")
	errStoreUnknown  = wharfrefusal.New(http.StatusGatewayTimeout, "outcome-unknown", "the store's reply was lost; send the same again to learn the outcome").MayHaveRun()
	errNoJob         = wharfrefusal.New(http.StatusNotFound, "no-such-job", "the organisation has no such batch job or item")
	errJobNotCertain = wharfrefusal.New(http.StatusServiceUnavailable, "job-unknown", "this host can not say whether there is such a batch job; try another")
)

func (q *request) submit(parent context.Context) error {
	items, err := q.server.options.Dialect.DecodeItems(q.call.Body)
	if err != nil {
		return errMalformed
	}
	if len(items) == 0 || len(items) > mostItems {
		return errJobTooLarge
	}
	ctx, cancel := context.WithTimeout(parent, min(storeLimit, q.left()))
	defer cancel()
	err = q.server.options.Jobs.Submit(ctx, wharfjobstore.Submission{
		ID:               q.call.ID,
		Organisation:     q.organisationName(),
		Route:            q.route.Name,
		Host:             q.call.Host,
		Items:            items,
		MaxWaitingTokens: q.route.MaxWaitingTokens,
	})
	if err != nil {
		return q.jobRefusal(err)
	}
	took := time.Since(q.call.Arrived)
	q.server.options.Metrics.Record(q.organisationName(), wharfmetrics.Batch, wharfmetrics.QueueWait, took)
	klog.InfoS("batch job accepted", "request-id", q.call.ID, "organisation", q.organisationName(), "route", q.route.Name,
		"items", len(items), "took", took.String(), "configuration-version", q.table.Version)
	q.writer.WriteHeader(http.StatusAccepted)
	return nil
}

func (q *request) jobRefusal(err error) error {
	switch {
	case errors.Is(err, wharfjobstore.ErrWaitingLimit):
		return q.later(errTooMuch)
	case errors.Is(err, wharfjobstore.ErrNotFound):
		return errNoJob
	case errors.Is(err, wharfrecords.ErrUnknown):
		return errStoreUnknown
	case errors.Is(err, wharfrecords.ErrUnavailable):
		return q.later(errStore)
	}
	return err
}

// serveJob answers a request about a job that was submitted before.
func (q *request) serveJob(r *http.Request, job wharfdialect.JobCall) error {
	q.drain(r)
	q.call.ID = job.JobID
	if err := q.identify(); err != nil {
		return err
	}
	limit := storeLimit
	if job.Action != wharfdialect.CancelJob {
		limit = job.Wait + questionLimit
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(limit, q.left()-jobAnswer))
	defer cancel()
	switch job.Action {
	case wharfdialect.CancelJob:
		return q.endJob(ctx, job)
	case wharfdialect.ReadBody:
		return q.readItem(ctx, job)
	}
	return q.readResults(ctx, job)
}

// jobAnswer is the part of a caller's time that is left for the answer about a job.
const jobAnswer = 200 * time.Millisecond

func (q *request) endJob(ctx context.Context, job wharfdialect.JobCall) error {
	if err := q.server.options.Jobs.End(ctx, q.organisationName(), job.JobID); err != nil {
		return q.jobRefusal(err)
	}
	klog.InfoS("batch job ended by its caller", "request-id", job.JobID, "organisation", q.organisationName())
	q.writer.WriteHeader(http.StatusOK)
	return nil
}

func (q *request) readItem(ctx context.Context, call wharfdialect.JobCall) error {
	book := q.server.options.Jobs
	job, err := q.findJob(ctx, call.JobID)
	if err != nil {
		return err
	}
	items, err := book.Items(ctx, &job)
	if err != nil {
		return q.jobRefusal(err)
	}
	for _, item := range items {
		if item.ID != call.ItemID {
			continue
		}
		q.writer.Header().Set("Content-Type", "application/octet-stream")
		if _, err := q.writer.Write(item.Body); err != nil {
			klog.V(1).InfoS("caller left", "request-id", call.JobID, "error", err.Error())
		}
		return nil
	}
	return errNoJob
}

// findJob returns a job that this host knows, or asks the store.
func (q *request) findJob(ctx context.Context, id string) (wharfjobstore.Job, error) {
	book := q.server.options.Jobs
	if job, known := book.Cached(q.organisationName(), id); known {
		return job, nil
	}
	job, err := book.Fetch(ctx, q.organisationName(), id)
	if errors.Is(err, wharfrecords.ErrUnavailable) {
		return job, q.later(errJobNotCertain)
	}
	if err != nil {
		return job, q.jobRefusal(err)
	}
	return job, nil
}

// readResults answers with the results after a position, and waits for one if the caller does.
func (q *request) readResults(ctx context.Context, call wharfdialect.JobCall) error {
	job, err := q.findJob(ctx, call.JobID)
	if err != nil {
		return err
	}
	job, err = q.awaitResult(ctx, job, call)
	if err != nil {
		return err
	}
	results, err := q.server.options.Jobs.Results(ctx, job, call.After, maxPage)
	if err != nil {
		return q.jobRefusal(err)
	}
	return q.server.options.Dialect.WriteResults(q.writer, results)
}

// awaitResult returns the job once it has a result after the position, or as it is when the caller's wait is over.
func (q *request) awaitResult(ctx context.Context, job wharfjobstore.Job, call wharfdialect.JobCall) (wharfjobstore.Job, error) {
	book := q.server.options.Jobs
	wait, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	for {
		changed := book.Changed()
		if known, ok := book.Cached(q.organisationName(), call.JobID); ok && known.Version > job.Version {
			job = known
		}
		if len(job.ResultOrder) > call.After || !job.Pending() {
			return job, nil
		}
		select {
		case <-changed:
		case <-wait.Done():
			if book.Fresh() {
				return job, nil
			}
			fetched, err := book.Fetch(ctx, q.organisationName(), call.JobID)
			if err != nil {
				return job, q.jobRefusal(err)
			}
			return fetched, nil
		}
	}
}
