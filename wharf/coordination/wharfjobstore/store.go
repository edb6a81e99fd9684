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
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	// firstPause and longestPause bound the pause before a store call is made again.
	firstPause   = 30 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// callLimit bounds one call of the store; the slowest answers seen take a few hundred milliseconds.
	callLimit = 1200 * time.Millisecond
)

// Sentinel errors of batch jobs.
var (
	// ErrNotFound says that the organisation has no such job, or the job no such item.
	ErrNotFound = errors.New("no such batch job")
	// ErrWaitingLimit says that more tokens would wait than the organisation may have waiting on the route.
	ErrWaitingLimit = errors.New("too many tokens wait already")
	// ErrOwnershipLost says that another host runs the job now, or that it has ended.
	ErrOwnershipLost = errors.New("the job is no longer this host's")
)

// Job is a job as one version of its row says.
type Job struct {
	wharftask.Record
	Version uint64
}

// Key returns the job's key in the store.
func (j *Job) Key() string {
	return keyOf(j.Organisation, j.ID)
}

// Options are a book's parts.
type Options struct {
	Records     wharfrecords.Store
	Host        string
	Incarnation uint64
}

// Store reads and writes jobs; it is safe for concurrent use.
type Store struct {
	options Options
	mu      sync.Mutex
	jobs    map[string]Job // by key, as the feed has told
	listed  map[string][]wharftask.Result
	items   map[string][]wharfcall.Item // of jobs that this host accepted or runs
	offset  time.Duration               // of the store's clock from the process's own
	started time.Time
	version uint64 // up to which the feed has told all
	heard   time.Time
	served  time.Time // of the last call that the store answered, be it through another host
	failed  time.Time // of the last call that it did not answer
	changed chan struct{}
}

// New returns a book that knows no jobs yet.
func New(options Options) *Store {
	return &Store{
		options: options,
		jobs:    map[string]Job{},
		listed:  map[string][]wharftask.Result{},
		items:   map[string][]wharfcall.Item{},
		started: time.Now(),
		changed: make(chan struct{}),
	}
}

// retry calls the store until it has an answer or ctx ends. An outcome that stays unknown is ErrUnknown.
func (b *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	unknown := false
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		limited, cancel := context.WithTimeout(ctx, callLimit)
		err := call(limited)
		cancel()
		b.note(err)
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

// retried calls the store like retry and returns its answer.
func retried[T any](ctx context.Context, b *Store, call func(ctx context.Context) (T, error)) (T, error) {
	var answer T
	err := b.retry(ctx, func(ctx context.Context) error {
		var err error
		answer, err = call(ctx)
		return err
	})
	return answer, err
}

// note remembers whether the store answers this host.
func (b *Store) note(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(err, wharfrecords.ErrUnknown) || errors.Is(err, wharfrecords.ErrUnavailable) {
		b.failed = time.Now()
		return
	}
	b.served = time.Now()
}

// clock takes over the store's clock.
func (b *Store) clock(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset = now - time.Since(b.started)
}

// Now returns the present time of the store's clock.
func (b *Store) Now() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.offset + time.Since(b.started)
}

// Submission is a job that a caller hands in.
type Submission struct {
	ID               string
	Organisation     string
	Route            string
	Host             string
	Items            []wharfcall.Item
	MaxWaitingTokens int64 // tokens of the organisation on the route, 0 for no limit
}

// Submit accepts a job once: a job that is there already is accepted again without effect. The errors ErrTooMuch and
// ErrUnavailable promise that nothing of it runs; ErrUnknown does not.
func (b *Store) Submit(ctx context.Context, s Submission) error {
	object := "wharf-items-" + clean(s.Organisation) + "-" + clean(s.ID)
	stored := make(chan error, 1)
	go func() { stored <- b.storeItems(ctx, object, s.Items) }()
	unknown := false
	for {
		err := b.submit(ctx, s, object, stored)
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

func (b *Store) storeItems(ctx context.Context, object string, items []wharfcall.Item) error {
	data := encode(items)
	err := b.retry(ctx, func(ctx context.Context) error {
		return b.options.Records.PutObject(ctx, object, data)
	})
	if errors.Is(err, wharfrecords.ErrExists) {
		return nil // an earlier attempt of the same submission
	}
	if err != nil {
		return wharfrecords.ErrUnavailable // an object that no job names runs nothing
	}
	return nil
}

// submit makes one transaction; ErrConflict asks for another try.
func (b *Store) submit(ctx context.Context, s Submission, object string, stored chan error) error {
	gate, jobs, now, err := b.organisationJobs(ctx, s.Organisation)
	if err != nil {
		return wharfrecords.ErrUnavailable // nothing was written by reading
	}
	key := keyOf(s.Organisation, s.ID)
	waiting := int64(0)
	for _, job := range jobs {
		if job.Key() == key {
			b.take(job)
			return nil
		}
		if job.Route == s.Route {
			waiting += job.WaitingTokens()
		}
	}
	record := b.record(s, object, now)
	if s.MaxWaitingTokens > 0 && waiting+record.WaitingTokens() > s.MaxWaitingTokens {
		klog.InfoS("batch job does not fit", "request-id", s.ID, "organisation", s.Organisation, "route", s.Route,
			"tokens", record.WaitingTokens(), "waiting", waiting, "most", s.MaxWaitingTokens, "row-version", gate)
		return ErrWaitingLimit
	}
	select {
	case err := <-stored:
		stored <- err
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return wharfrecords.ErrUnavailable
	}
	return b.accept(ctx, s, record, gate)
}

func (b *Store) record(s Submission, object string, now time.Duration) wharftask.Record {
	record := wharftask.Record{
		ID:            s.ID,
		Organisation:  s.Organisation,
		Route:         s.Route,
		Host:          s.Host,
		Object:        object,
		AcceptedAt:    now,
		Owner:         b.options.Host,
		Incarnation:   b.options.Incarnation,
		TransactionID: uuid.NewString(),
	}
	for _, item := range s.Items {
		record.ItemTokens = append(record.ItemTokens, item.Tokens)
	}
	return record
}

func (b *Store) accept(ctx context.Context, s Submission, record wharftask.Record, gate uint64) error {
	key := keyOf(s.Organisation, s.ID)
	transaction := wharfrecords.Transaction{
		Part:       partOf(s.Organisation),
		Conditions: []wharfrecords.Condition{{Table: jobTable, Key: key}, {Table: jobTable, Key: gateKey(s.Organisation), Version: gate}},
		Puts: []wharfrecords.Row{
			{Table: jobTable, Key: key, Value: encode(record)},
			{Table: jobTable, Key: gateKey(s.Organisation), Value: []byte(record.TransactionID)},
		},
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := b.options.Records.Commit(limited, transaction)
	b.note(err)
	if errors.Is(err, wharfrecords.ErrUnavailable) && wharfpause.For(ctx, firstPause+rand.N(firstPause)) {
		return wharfrecords.ErrConflict
	}
	if errors.Is(err, wharfrecords.ErrUnknown) {
		return b.settle(ctx, s)
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.items[key] = s.Items
	b.mu.Unlock()
	b.take(Job{Record: record, Version: page.Version})
	return nil
}

// settle finds out whether a transaction whose reply was lost has accepted the job.
func (b *Store) settle(ctx context.Context, s Submission) error {
	_, err := b.Fetch(ctx, s.Organisation, s.ID)
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotFound) {
		// It may still be done: only another transaction of the same job can tell, since one of the two fails.
		return b.again(ctx)
	}
	return wharfrecords.ErrUnknown
}

func (b *Store) again(ctx context.Context) error {
	if !wharfpause.For(ctx, firstPause) {
		return wharfrecords.ErrUnknown
	}
	return errors.Join(wharfrecords.ErrConflict, wharfrecords.ErrUnknown)
}

// organisationJobs reads all jobs of an organisation as of one moment, with the version of its gate.
func (b *Store) organisationJobs(ctx context.Context, organisation string) (gate uint64, jobs []Job, now time.Duration, err error) {
	first := gateKey(organisation)
	page, err := retried(ctx, b, func(ctx context.Context) (wharfrecords.Page, error) {
		return wharfrecords.ReadAll(ctx, b.options.Records, wharfrecords.Range{
			Table: jobTable, Part: partOf(organisation), From: first, To: strings.TrimSuffix(first, "/") + "0",
		})
	})
	if err != nil {
		return 0, nil, 0, err
	}
	b.clock(page.Now)
	for _, row := range page.Rows {
		if row.Key == first {
			gate = row.Version
			continue
		}
		if job, ok := jobOf(row); ok {
			jobs = append(jobs, job)
		}
	}
	return gate, jobs, page.Now, nil
}

// jobOf decodes a job's row, and logs if it can't be read.
func jobOf(row wharfrecords.Row) (Job, bool) {
	record, err := decodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "batch job's row can not be read", "row-version", row.Version)
		return Job{}, false
	}
	return Job{Record: record, Version: row.Version}, true
}

// Fetch reads a job from the store; errors are ErrNotFound and ErrUnavailable.
func (b *Store) Fetch(ctx context.Context, organisation, id string) (Job, error) {
	key := keyOf(organisation, id)
	page, err := retried(ctx, b, func(ctx context.Context) (wharfrecords.Page, error) {
		return b.options.Records.Read(ctx, wharfrecords.Range{Table: jobTable, Part: partOf(organisation), From: key, To: key + "\x00", Limit: 1})
	})
	if err != nil {
		return Job{}, wharfrecords.ErrUnavailable
	}
	b.clock(page.Now)
	if len(page.Rows) == 0 {
		return Job{}, ErrNotFound
	}
	job, ok := jobOf(page.Rows[0])
	if !ok {
		return Job{}, wharfrecords.ErrUnavailable
	}
	b.take(job)
	return job, nil
}

// take remembers a job unless a newer version is known, and wakes who waits for a change.
func (b *Store) take(job Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := job.Key()
	if known, ok := b.jobs[key]; ok && known.Version >= job.Version {
		return
	}
	b.jobs[key] = job
	if !job.Pending() {
		delete(b.items, key)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of a job.
func (b *Store) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Cached returns a job as this host has last heard of it.
func (b *Store) Cached(organisation, id string) (Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, ok := b.jobs[keyOf(organisation, id)]
	return job, ok
}

// OpenJobs returns the jobs with items left to do.
func (b *Store) OpenJobs() []Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []Job
	for _, job := range b.jobs {
		if job.Pending() {
			open = append(open, job)
		}
	}
	return open
}

// Unreachable reports whether the store has not answered this host for a while.
func (b *Store) Unreachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed.After(b.served) && time.Since(b.served) > strandedAfter
}

// Fresh reports whether the feed has told all changes up to a moment ago.
func (b *Store) Fresh() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.heard) < freshFor
}
