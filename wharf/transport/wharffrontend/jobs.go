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
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfregion"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftask"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	// storeTimeout bounds all store attempts for one request. It is long enough to ride out a short outage, and short
	// enough to leave a refused caller time to try another host.
	storeTimeout = 1500 * time.Millisecond
	// jobQueryTimeout is the corresponding bound for a query about a job, which callers repeat soon.
	jobQueryTimeout = 600 * time.Millisecond
	// maxPageBytes is the largest page of results in bytes, leaving room for the response's framing.
	maxPageBytes = 900 << 10
	// pageReserve is the memory of a page of results and its encoded form, and itemsReserve that of a job's items while one of
	// them is looked up.
	pageReserve  = 2 * maxPageBytes
	itemsReserve = 4 << 20
	// maxItems is the largest number of items in a job.
	maxItems = 200
)

var (
	errJobTooLarge = wharfrefusal.New(http.StatusRequestEntityTooLarge, "too-many-items",
		"a batch job has from 1 to 200 items")
	errTooManyWaiting = wharfrefusal.New(http.StatusTooManyRequests, "too-much-waiting",
		"the organisation has too many tokens waiting; come back later")
	errStoreUnavailable = wharfrefusal.New(http.StatusServiceUnavailable, "store-unavailable",
		"the store does not answer at present; come back later")
	errOutcomeUnknown = wharfrefusal.New(http.StatusGatewayTimeout, "outcome-unknown",
		"the store's reply was lost; send the same again to learn the outcome").MayHaveRun()
	errNoJob = wharfrefusal.New(http.StatusNotFound, "no-such-job",
		"the organisation has no such batch job or item")
	errJobUnknown = wharfrefusal.New(http.StatusServiceUnavailable, "job-unknown",
		"this host can not say whether there is such a batch job; try another")
)

// submit stores a batch job and responds once it is durable.
func (q *request) submit(parent context.Context) error {
	items, err := q.decodeItems(parent)
	if err != nil {
		return err
	}
	if len(items) == 0 || len(items) > maxItems {
		return errJobTooLarge
	}
	for i := range items {
		if err := items[i].Check(); err != nil {
			return wharfrefusal.New(http.StatusBadRequest, "invalid-item", err.Error())
		}
	}
	limit := min(storeTimeout, q.remaining())
	if err := q.endsBeforeStop(limit); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	ctx = wharfregion.WithLimit(ctx, wharfroute.Regions(q.route, q.organisation))
	err = q.server.options.Jobs.Submit(ctx, wharfjobstore.Submission{
		ID:                   q.call.ID,
		Organisation:         q.organisationName(),
		Route:                q.route.Name,
		PathPrefix:           q.route.PathPrefix,
		Host:                 q.call.Host,
		Items:                items,
		MaxWaitingTokens:     q.route.MaxWaitingTokens,
		ConfigurationVersion: q.table.Version,
	})
	if err != nil {
		return q.jobRefusal(err)
	}
	elapsed := time.Since(q.call.Arrived)
	q.server.options.Metrics.Record(q.organisationName(), wharfmetrics.Batch, wharfmetrics.QueueWait, elapsed)
	klog.InfoS("batch job accepted", "request-id", q.call.ID, "organisation", q.organisationName(),
		"route", q.route.Name, "items", len(items), "took", elapsed.String(), "configuration-version", q.table.Version)
	q.writer.WriteHeader(http.StatusAccepted)
	return nil
}

const (
	// decodedShare is how many times the size of a submission its items and their stored form take together at most, and
	// partBytes what each part takes beside that.
	decodedShare = 3
	partBytes    = 300
	// maxParts is the largest number of parts of a submission: 100 for each item.
	maxParts = 100 * maxItems
)

// decodeItems decodes a submission. It reserves the memory of the items and their stored form before, and gives up the body.
func (q *request) decodeItems(ctx context.Context) ([]wharfcall.Item, error) {
	size, most := int64(len(q.call.Body)), q.server.options.Memory.Size()
	parts := q.server.options.Dialect.CountParts(q.call.Body)
	if parts > maxParts {
		return nil, errJobTooLarge
	}
	decoded := decodedShare*size + int64(parts)*partBytes
	if err := q.reserve(ctx, min(size+decoded, most)); err != nil {
		return nil, err
	}
	items, err := q.server.options.Dialect.DecodeItems(q.call.Body)
	q.call.Body = nil
	if err != nil {
		return nil, errMalformed
	}
	q.memory.Shrink(min(decoded, most))
	return items, nil
}

// reserve raises the memory of the request to a total.
func (q *request) reserve(ctx context.Context, total int64) error {
	if q.memory == nil {
		q.memory = q.server.options.Memory.Open(nil)
	}
	if err := q.memory.Grow(ctx, total); err != nil {
		return q.withRetryAfter(errNoMemory)
	}
	return nil
}

// jobRefusal maps errors of the job store to refusals.
func (q *request) jobRefusal(err error) error {
	switch {
	case errors.Is(err, wharfjobstore.ErrWaitingLimit):
		return q.withRetryAfter(errTooManyWaiting)
	case errors.Is(err, wharfmemory.ErrExhausted):
		return q.withRetryAfter(errNoMemory)
	case errors.Is(err, wharfjobstore.ErrNotFound), errors.Is(err, wharfjobstore.ErrItemsLost):
		return errNoJob
	case errors.Is(err, wharfrecords.ErrRejected):
		return errTooLarge
	case errors.Is(err, wharfrecords.ErrUnknown):
		return errOutcomeUnknown
	case errors.Is(err, wharfrecords.ErrUnavailable):
		return q.withRetryAfter(errStoreUnavailable)
	}
	return err
}

// serveJob serves a request about a previously submitted job.
func (q *request) serveJob(r *http.Request, job wharfdialect.JobCall) error {
	q.call.ID = job.JobID
	if err := q.authenticate(); err != nil {
		return err
	}
	q.limitWriting(q.remaining())
	limit := storeTimeout
	if job.Action != wharfdialect.CancelJob {
		limit = job.Wait + jobQueryTimeout
	}
	limit = min(limit, q.remaining()-jobResponseReserve)
	if err := q.endsBeforeStop(limit); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	switch job.Action {
	case wharfdialect.CancelJob:
		return q.cancelJob(ctx, job)
	case wharfdialect.ReadBody:
		return q.readItem(ctx, job)
	}
	return q.readResults(ctx, job)
}

// jobResponseReserve is the part of the caller's deadline reserved for sending the response about a job.
const jobResponseReserve = 200 * time.Millisecond

// cancelJob ends a job at its caller's request.
func (q *request) cancelJob(ctx context.Context, job wharfdialect.JobCall) error {
	if err := q.server.options.Jobs.End(ctx, q.organisationName(), job.JobID); err != nil {
		return q.jobRefusal(err)
	}
	klog.InfoS("batch job cancelled by caller", "request-id", job.JobID, "organisation", q.organisationName())
	q.writer.WriteHeader(http.StatusOK)
	return nil
}

// readItem responds with the request body of one item of a job.
func (q *request) readItem(ctx context.Context, call wharfdialect.JobCall) error {
	jobs := q.server.options.Jobs
	job, err := q.findJob(ctx, call.JobID)
	if err != nil {
		return err
	}
	if err := q.reserve(ctx, itemsReserve); err != nil {
		return err
	}
	if route := q.table.BatchRoute(job.Route, job.Host, job.PathPrefix); route != nil {
		ctx = wharfregion.WithLimit(ctx, wharfroute.Regions(route, q.organisation))
	}
	items, err := jobs.Items(ctx, &job)
	if err != nil {
		return q.jobRefusal(err)
	}
	for _, item := range items {
		if item.ID != call.ItemID {
			continue
		}
		q.writer.Header().Set("Content-Type", "application/octet-stream")
		if _, err := q.writer.Write(item.Body); err != nil {
			klog.V(1).InfoS("caller disconnected", "request-id", call.JobID, "error", err.Error())
		}
		return nil
	}
	return errNoJob
}

// findJob returns a job from this host's copy or, if it is not there, from the store.
func (q *request) findJob(ctx context.Context, id string) (wharfjobstore.Job, error) {
	jobs := q.server.options.Jobs
	if job, cached := jobs.Cached(q.organisationName(), id); cached {
		return job, nil
	}
	job, err := jobs.Fetch(ctx, q.organisationName(), id)
	if errors.Is(err, wharfrecords.ErrUnavailable) {
		return job, q.withRetryAfter(errJobUnknown)
	}
	if err != nil {
		return job, q.jobRefusal(err)
	}
	return job, nil
}

// readResults responds with the results after a position. If there are none yet, it waits for up to the time that the
// caller asked for.
func (q *request) readResults(ctx context.Context, call wharfdialect.JobCall) error {
	job, err := q.findJob(ctx, call.JobID)
	if err != nil {
		return err
	}
	job, err = q.awaitResult(ctx, job, call)
	if err != nil {
		return err
	}
	if err := q.reserve(ctx, pageReserve); err != nil {
		return err
	}
	results, err := q.server.options.Jobs.Results(ctx, job, call.After, maxPageBytes)
	if err != nil {
		return q.jobRefusal(err)
	}
	q.memory.Shrink(int64(resultsSize(results)))
	return q.server.options.Dialect.WriteResults(q.writer, results)
}

// awaitResult waits until the job has a result after the position, has ended, or the caller's wait time has passed, and
// returns the job in its latest known state.
func (q *request) awaitResult(
	ctx context.Context, job wharfjobstore.Job, call wharfdialect.JobCall,
) (wharfjobstore.Job, error) {
	jobs := q.server.options.Jobs
	wait, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	for {
		changed := jobs.Changed()
		if cached, ok := jobs.Cached(q.organisationName(), call.JobID); ok && cached.Version > job.Version {
			job = cached
		}
		if len(job.ResultOrder) > call.After || !job.Pending() {
			return job, nil
		}
		select {
		case <-changed:
		case <-wait.Done():
			if jobs.Fresh() {
				return job, nil
			}
			fetched, err := jobs.Fetch(ctx, q.organisationName(), call.JobID)
			if err != nil {
				return job, q.jobRefusal(err)
			}
			return fetched, nil
		}
	}
}

// resultsSize returns the memory of a page of results and its encoded form.
func resultsSize(results wharftask.Results) int {
	const overhead = 64 // of an entry
	size := 0
	for _, r := range results.Results {
		size += 2 * (len(r.ItemID) + len(r.Output) + overhead)
	}
	return size
}
