package wharfjobstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	// minBackoff and maxBackoff bound the pause before a store call is retried.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// callTimeout bounds one call to the store; the slowest answers take a few hundred milliseconds.
	callTimeout = 1200 * time.Millisecond
)

// Sentinel errors of batch jobs.
var (
	// ErrNotFound is returned when the organisation has no such job, or the job no such item.
	ErrNotFound = errors.New("no such batch job")
	// ErrWaitingLimit is returned when a job would exceed the organisation's limit of waiting tokens on the route.
	ErrWaitingLimit = errors.New("too many tokens are waiting already")
	// ErrOwnershipLost is returned when another host owns the job now, or the job has ended.
	ErrOwnershipLost = errors.New("the job has ended or is owned by another host")
	// ErrItemsLost is returned when a job's items are not in the store, or may be those of another job.
	ErrItemsLost = errors.New("the items of the job are lost")
)

// Job is a job's record as of one version of its row.
type Job struct {
	wharftask.Record
	Version uint64
}

// Key returns the job's key in the store.
func (j *Job) Key() string {
	return jobKey(j.Organisation, j.ID)
}

// Options holds a store's dependencies and identity.
type Options struct {
	Records     wharfrecords.Store
	Host        string
	Incarnation uint64
	Region      string // of this host, "" if it is not known
	// Memory bounds the items that are kept. Nil is no bound.
	Memory *wharfmemory.Account
}

// Store reads and writes batch jobs and caches them from the change feed. It is safe for concurrent use.
type Store struct {
	options     Options
	mu          sync.Mutex
	jobs        map[string]Job // by key, as last seen
	listed      map[string][]wharftask.Result
	items       map[string]keptItems // by job key, of jobs that this host accepted or runs
	clockOffset time.Duration        // of the store's clock from the time since started
	started     time.Time
	version     uint64 // store version up to which the cache is complete
	lastPoll    time.Time
	lastSuccess time.Time // of a call to the store, directly or relayed by another host
	lastFailure time.Time // of a call that the store did not answer
	changed     chan struct{}
}

// New returns a store with an empty cache.
func New(options Options) *Store {
	return &Store{
		options: options,
		jobs:    map[string]Job{},
		listed:  map[string][]wharftask.Result{},
		items:   map[string]keptItems{},
		started: time.Now(),
		changed: make(chan struct{}),
	}
}

// retry calls the store with backoff until it answers or ctx ends. It returns ErrUnknown if an attempt had an unknown
// outcome that no later attempt resolved, and ErrUnavailable if no attempt can have had an effect.
func (s *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	unknown := false
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		s.recordAvailability(err)
		unknown = unknown || errors.Is(err, wharfrecords.ErrUnknown)
		if !errors.Is(err, wharfrecords.ErrUnknown) && !errors.Is(err, wharfrecords.ErrUnavailable) {
			return err
		}
		if !wharfpause.For(ctx, pause/2+rand.N(pause)) {
			if unknown {
				return wharfrecords.ErrUnknown
			}
			return wharfrecords.ErrUnavailable
		}
	}
}

// retryWithResult is like retry and returns the result of the call.
func retryWithResult[T any](ctx context.Context, s *Store, call func(ctx context.Context) (T, error)) (T, error) {
	var result T
	err := s.retry(ctx, func(ctx context.Context) error {
		var err error
		result, err = call(ctx)
		return err
	})
	return result, err
}

// recordAvailability records from a call's error whether the store answered this host.
func (s *Store) recordAvailability(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, wharfrecords.ErrUnknown) || errors.Is(err, wharfrecords.ErrUnavailable) {
		s.lastFailure = time.Now()
		return
	}
	s.lastSuccess = time.Now()
}

// syncClock sets the offset to the store's clock.
func (s *Store) syncClock(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset = now - time.Since(s.started)
}

// Now returns the estimated current time of the store's clock.
func (s *Store) Now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clockOffset + time.Since(s.started)
}

// Submission is a job that a caller submits.
type Submission struct {
	ID               string
	Organisation     string
	Route            string
	PathPrefix       string // of the route
	Host             string
	Items            []wharfcall.Item
	MaxWaitingTokens int64 // of the organisation on the route; 0 means no limit
	// ConfigurationVersion is a version that has the route.
	ConfigurationVersion uint64
}

// Submit accepts a job idempotently: submitting a job that exists already has no effect. ErrWaitingLimit and
// ErrUnavailable and wharfmemory.ErrExhausted guarantee that no item of the job runs; ErrUnknown does not.
func (s *Store) Submit(ctx context.Context, sub Submission) error {
	data := encode(sub.Items)
	object := itemsObject(sub.Organisation, sub.ID, data)
	stored := make(chan error, 1)
	go func() { stored <- s.storeItems(ctx, object, data) }()
	unknown := false
	for {
		err := s.trySubmit(ctx, sub, object, stored)
		if errors.Is(err, wharfrecords.ErrUnknown) {
			unknown = true
		}
		if err == nil || errors.Is(err, ErrWaitingLimit) && !unknown {
			return err
		}
		if !errors.Is(err, wharfrecords.ErrConflict) || ctx.Err() != nil {
			if unknown {
				return wharfrecords.ErrUnknown
			}
			return err
		}
	}
}

func (s *Store) storeItems(ctx context.Context, object string, data []byte) error {
	err := s.retry(ctx, func(ctx context.Context) error {
		return s.options.Records.PutObject(ctx, object, data)
	})
	if errors.Is(err, wharfrecords.ErrExists) {
		return nil // stored by an earlier attempt: the name depends on the items
	}
	if errors.Is(err, wharfrecords.ErrRejected) {
		return err
	}
	if err != nil {
		return wharfrecords.ErrUnavailable // an object without a job row has no effect
	}
	return nil
}

// trySubmit makes one attempt at the submission; ErrConflict asks the caller to retry.
func (s *Store) trySubmit(ctx context.Context, sub Submission, object string, stored chan error) error {
	admission, jobs, now, err := s.organisationJobs(ctx, sub.Organisation)
	if err != nil {
		return wharfrecords.ErrUnavailable // a failed read has written nothing
	}
	key := jobKey(sub.Organisation, sub.ID)
	waiting := int64(0)
	for _, job := range jobs {
		if job.Key() == key {
			s.cacheJob(job)
			return nil
		}
		if job.Route == sub.Route {
			waiting += job.WaitingTokens()
		}
	}
	record := s.newRecord(sub, object, now)
	if sub.MaxWaitingTokens > 0 && waiting+record.WaitingTokens() > sub.MaxWaitingTokens {
		klog.InfoS("batch job rejected: waiting token limit", "request-id", sub.ID, "organisation", sub.Organisation,
			"route", sub.Route, "tokens", record.WaitingTokens(), "waiting", waiting, "most", sub.MaxWaitingTokens,
			"row-version", admission)
		return ErrWaitingLimit
	}
	memory, err := s.reserve(ctx, sub.Items)
	if err != nil {
		return err
	}
	select {
	case err = <-stored:
		stored <- err
	case <-ctx.Done():
		err = wharfrecords.ErrUnavailable
	}
	if err == nil {
		err = s.commitSubmission(ctx, sub, record, admission, memory)
	}
	if err != nil {
		memory.release()
	}
	return err
}

func (s *Store) newRecord(sub Submission, object string, now time.Duration) wharftask.Record {
	record := wharftask.Record{
		ID:                   sub.ID,
		Organisation:         sub.Organisation,
		Route:                sub.Route,
		Host:                 sub.Host,
		Object:               object,
		AcceptedAt:           now,
		Owner:                s.options.Host,
		Incarnation:          s.options.Incarnation,
		TransactionID:        uuid.NewString(),
		Region:               s.options.Region,
		PathPrefix:           sub.PathPrefix,
		ConfigurationVersion: sub.ConfigurationVersion,
	}
	for _, item := range sub.Items {
		record.ItemTokens = append(record.ItemTokens, item.Tokens)
	}
	return record
}

func (s *Store) commitSubmission(
	ctx context.Context, sub Submission, record wharftask.Record, admission uint64, memory reservation,
) error {
	key := jobKey(sub.Organisation, sub.ID)
	transaction := wharfrecords.Transaction{
		Part: partFor(sub.Organisation),
		Conditions: []wharfrecords.Condition{
			{Table: jobTable, Key: key},
			{Table: jobTable, Key: admissionKey(sub.Organisation), Version: admission},
		},
		Puts: []wharfrecords.Row{
			{Table: jobTable, Key: key, Value: encode(record)},
			{Table: jobTable, Key: admissionKey(sub.Organisation), Value: []byte(record.TransactionID)},
		},
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := s.options.Records.Commit(limited, transaction)
	s.recordAvailability(err)
	if errors.Is(err, wharfrecords.ErrUnavailable) && wharfpause.For(ctx, minBackoff+rand.N(minBackoff)) {
		return wharfrecords.ErrConflict
	}
	if errors.Is(err, wharfrecords.ErrUnknown) {
		memory.release() // the items are read again if the job was accepted
		return s.resolveUnknown(ctx, sub)
	}
	if err != nil {
		return err
	}
	s.keepItems(key, keptItems{items: sub.Items, memory: memory})
	s.cacheJob(Job{Record: record, Version: page.Version})
	return nil
}

// resolveUnknown reads the job to find out whether a transaction whose reply was lost has accepted it.
func (s *Store) resolveUnknown(ctx context.Context, sub Submission) error {
	_, err := s.Fetch(ctx, sub.Organisation, sub.ID)
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotFound) {
		// The transaction may still be applied. Only another transaction for the same job can tell, since one of the
		// two fails.
		return s.retryUnknown(ctx)
	}
	return wharfrecords.ErrUnknown
}

func (s *Store) retryUnknown(ctx context.Context) error {
	if !wharfpause.For(ctx, minBackoff) {
		return wharfrecords.ErrUnknown
	}
	return errors.Join(wharfrecords.ErrConflict, wharfrecords.ErrUnknown)
}

// organisationJobs reads a consistent snapshot of all jobs of an organisation, with the version of its admission row
// and the store's time.
func (s *Store) organisationJobs(ctx context.Context, organisation string) (
	admission uint64, jobs []Job, now time.Duration, err error,
) {
	first := admissionKey(organisation)
	page, err := retryWithResult(ctx, s, func(ctx context.Context) (wharfrecords.Page, error) {
		return wharfrecords.ReadAll(ctx, s.options.Records, wharfrecords.Range{
			Table: jobTable, Part: partFor(organisation), From: first, To: strings.TrimSuffix(first, "/") + "0",
		})
	})
	if err != nil {
		return 0, nil, 0, err
	}
	s.syncClock(page.Now)
	for _, row := range page.Rows {
		if row.Key == first {
			admission = row.Version
			continue
		}
		if job, ok := decodeJob(row); ok {
			jobs = append(jobs, job)
		}
	}
	return admission, jobs, page.Now, nil
}

// decodeJob decodes a job's row; it logs an error and returns false if the row is corrupt.
func decodeJob(row wharfrecords.Row) (Job, bool) {
	record, err := decodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "failed to decode batch job row", "row-version", row.Version)
		return Job{}, false
	}
	return Job{Record: record, Version: row.Version}, true
}

// Fetch reads a job from the store. Its errors are ErrNotFound and ErrUnavailable.
func (s *Store) Fetch(ctx context.Context, organisation, id string) (Job, error) {
	key := jobKey(organisation, id)
	page, err := retryWithResult(ctx, s, func(ctx context.Context) (wharfrecords.Page, error) {
		return s.options.Records.Read(ctx, wharfrecords.Range{
			Table: jobTable, Part: partFor(organisation), From: key, To: key + "\x00", Limit: 1,
		})
	})
	if err != nil {
		return Job{}, wharfrecords.ErrUnavailable
	}
	s.syncClock(page.Now)
	if len(page.Rows) == 0 {
		return Job{}, ErrNotFound
	}
	job, ok := decodeJob(page.Rows[0])
	if !ok {
		return Job{}, wharfrecords.ErrUnavailable
	}
	s.cacheJob(job)
	return job, nil
}

// cacheJob caches a job unless a newer version is cached, and wakes the goroutines that wait for a change.
func (s *Store) cacheJob(job Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := job.Key()
	if known, ok := s.jobs[key]; ok && known.Version >= job.Version {
		return
	}
	s.jobs[key] = job
	if !job.Pending() {
		s.dropItems(key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change to a cached job.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Cached returns the newest version of a job that this host has seen, and whether there is one.
func (s *Store) Cached(organisation, id string) (Job, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job, ok := s.jobs[jobKey(organisation, id)]
	return job, ok
}

// OpenJobs returns the cached jobs that have items left to run.
func (s *Store) OpenJobs() []Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []Job
	for _, job := range s.jobs {
		if job.Pending() {
			open = append(open, job)
		}
	}
	return open
}

// Unreachable reports whether the store has not answered this host for longer than unreachableAfter.
func (s *Store) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFailure.After(s.lastSuccess) && time.Since(s.lastSuccess) > unreachableAfter
}

// Fresh reports whether the cache held all changes at some time within freshnessLimit.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastPoll) < freshnessLimit
}
