package wharfjobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	// MaxLineBytes is the maximum size of a line of an input file.
	MaxLineBytes = 1 << 20
	// MaxItems is the maximum number of items of a job.
	MaxItems = 600_000

	commitTimeout = 10 * time.Second
)

// Sentinel errors of files and jobs.
var (
	// ErrNotFound is returned when the organisation has no such file or job.
	ErrNotFound = errors.New("no such file or job")
	// ErrBadInput is returned when an input file or a job is invalid.
	ErrBadInput = errors.New("input can not be accepted")
	// ErrKeyReused is returned when an idempotency key was used before with another request.
	ErrKeyReused = errors.New("idempotency key was used for another job")
)

// Jobs manages the files and jobs of organisations.
type Jobs struct {
	storage wharfstorage.Storage
}

// New returns a Jobs that keeps files and jobs in storage.
func New(storage wharfstorage.Storage) *Jobs {
	return &Jobs{storage: storage}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return id.String()
}

// File returns a file of an organisation, or ErrNotFound.
func (j *Jobs) File(ctx context.Context, organisation, id string) (wharfjob.File, error) {
	file, version, err := wharfstorage.Read[wharfjob.File](ctx, j.storage, wharfjob.FileKey(id))
	if err != nil {
		return file, trace.Wrap(err)
	}
	if version == 0 || file.Organisation != organisation {
		return wharfjob.File{}, trace.Wrap(ErrNotFound)
	}
	return file, nil
}

// Content writes the lines of an input file to w.
func (j *Jobs) Content(ctx context.Context, file wharfjob.File, w io.Writer) error {
	for chunk := range file.Chunks() {
		data, err := j.storage.GetObject(ctx, wharfjob.InputObject(file.ID, chunk))
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := w.Write(append(data, '\n')); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Request describes a job to create from an uploaded file.
type Request struct {
	Organisation   string
	FileID         string
	Path           string
	Window         string
	Metadata       map[string]string
	IdempotencyKey string
	Serves         func(service string) bool // whether the service is a configured model
}

// fingerprint identifies the content of a request; it is the idempotency key of a request without one.
func (r *Request) fingerprint() string {
	data, _ := json.Marshal([]any{r.FileID, r.Path, r.Window, r.Metadata})
	return wharfconfig.Hash(data)
}

// Submit accepts a job in one commit. A resubmission, which has the same idempotency key or, without a key, the same
// content, returns the job accepted before. The errors include ErrBadInput, ErrNotFound and ErrKeyReused.
func (j *Jobs) Submit(ctx context.Context, request Request) (wharfjob.Job, error) {
	window, err := time.ParseDuration(request.Window)
	if err != nil || window <= 0 {
		return wharfjob.Job{}, trace.Wrap(fmt.Errorf("%w: completion_window %q is not a duration such as 24h",
			ErrBadInput, request.Window))
	}
	fingerprint := request.fingerprint()
	key := fingerprint
	if request.IdempotencyKey != "" {
		key = wharfconfig.Hash([]byte(request.IdempotencyKey))
	}
	submissionKey := wharfjob.SubmissionKey(request.Organisation, key)
	if job, found, err := j.findSubmission(ctx, submissionKey, fingerprint); err != nil || found {
		return job, trace.Wrap(err)
	}
	file, err := j.File(ctx, request.Organisation, request.FileID)
	if err != nil {
		return wharfjob.Job{}, trace.Wrap(err)
	}
	if file.Path != request.Path {
		return wharfjob.Job{}, trace.Wrap(fmt.Errorf("%w: endpoint is %q, but the file's lines ask for %q", ErrBadInput,
			request.Path, file.Path))
	}
	if !request.Serves(file.Service) {
		return wharfjob.Job{}, trace.Wrap(fmt.Errorf("%w: there is no model %q; GET /v1/models lists them", ErrBadInput,
			file.Service))
	}
	job := newJob(&request, &file, window)
	err = j.commitJob(ctx, &job, submissionKey, fingerprint)
	if errors.Is(err, wharfrow.ErrConflict) {
		job, _, err := j.findSubmission(ctx, submissionKey, fingerprint)
		return job, trace.Wrap(err)
	}
	return job, trace.Wrap(err)
}

func newJob(request *Request, file *wharfjob.File, window time.Duration) wharfjob.Job {
	now := time.Now().UTC()
	return wharfjob.Job{
		ID:           "batch_" + newID(),
		Organisation: request.Organisation,
		FileID:       file.ID,
		Path:         file.Path,
		Service:      file.Service,
		State:        wharfjob.InProgress,
		Items:        file.Items,
		Chunks:       file.Chunks(),
		CreatedAt:    now,
		Deadline:     now.Add(window),
		Window:       request.Window,
		Metadata:     request.Metadata,
	}
}

func (j *Jobs) findSubmission(ctx context.Context, key, fingerprint string) (job wharfjob.Job, found bool, err error) {
	submission, version, err := wharfstorage.Read[wharfjob.Submission](ctx, j.storage, key)
	if err != nil || version == 0 {
		return job, false, trace.Wrap(err)
	}
	if submission.Fingerprint != fingerprint {
		return job, false, trace.Wrap(ErrKeyReused)
	}
	job, _, err = wharfstorage.Read[wharfjob.Job](ctx, j.storage, wharfjob.JobKey(submission.Job))
	return job, true, trace.Wrap(err)
}

func (j *Jobs) commitJob(ctx context.Context, job *wharfjob.Job, submissionKey, fingerprint string) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	open := wharfjob.Open{
		Job:          job.ID,
		Organisation: job.Organisation,
		FileID:       job.FileID,
		Service:      job.Service,
		Chunks:       job.Chunks,
		Items:        job.Items,
		Deadline:     job.Deadline,
	}
	conditions := []wharfrow.Condition{wharfstorage.At(submissionKey, 0), wharfstorage.At(wharfjob.JobKey(job.ID), 0)}
	return trace.Wrap(wharfstorage.Commit(ctx, j.storage, conditions,
		wharfstorage.Put(wharfjob.JobKey(job.ID), job),
		wharfstorage.Put(wharfjob.OpenKey(job.ID), open),
		wharfstorage.Put(wharfjob.ListKey(job.Organisation, job.ID), job.ID),
		wharfstorage.Put(submissionKey, wharfjob.Submission{Job: job.ID, Fingerprint: fingerprint})))
}

// Get returns a job of an organisation with its current counts, or ErrNotFound.
func (j *Jobs) Get(ctx context.Context, organisation, id string) (wharfjob.Job, error) {
	job, _, err := j.readJob(ctx, organisation, id)
	if err != nil || job.State == wharfjob.Completed {
		return job, trace.Wrap(err)
	}
	err = j.countResults(ctx, &job)
	return job, trace.Wrap(err)
}

func (j *Jobs) readJob(ctx context.Context, organisation, id string) (wharfjob.Job, uint64, error) {
	job, version, err := wharfstorage.Read[wharfjob.Job](ctx, j.storage, wharfjob.JobKey(id))
	if err != nil {
		return job, 0, trace.Wrap(err)
	}
	if version == 0 || job.Organisation != organisation {
		return wharfjob.Job{}, 0, trace.Wrap(ErrNotFound)
	}
	return job, version, nil
}

func (j *Jobs) countResults(ctx context.Context, job *wharfjob.Job) error {
	job.Completed = 0
	job.Failed = 0
	return trace.Wrap(j.visitParts(ctx, job.ID, func(part wharfjob.Part) error {
		job.Completed += part.Completed
		job.Failed += part.Failed
		return nil
	}))
}

// visitParts calls visit for the parts of the completed chunks in order.
func (j *Jobs) visitParts(ctx context.Context, id string, visit func(wharfjob.Part) error) error {
	return wharfstorage.ScanAll(ctx, j.storage, wharfjob.DonePrefix(id), func(row wharfrow.Row) error {
		var done wharfjob.Done
		if err := json.Unmarshal(row.Value, &done); err != nil {
			return trace.Wrap(err)
		}
		for _, part := range done.Parts {
			if err := visit(part); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
}

// List returns up to limit jobs of an organisation, oldest first. If after is a job ID, it returns only the jobs that
// follow that job.
func (j *Jobs) List(ctx context.Context, organisation, after string, limit int) ([]wharfjob.Job, error) {
	prefix := wharfjob.ListKey(organisation, "")
	from := ""
	if after != "" {
		from = prefix + after
	}
	rows, err := j.storage.Scan(ctx, prefix, from, limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	jobs := make([]wharfjob.Job, 0, len(rows))
	for _, row := range rows {
		job, _, err := j.readJob(ctx, organisation, row.Key[len(prefix):])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// Cancel cancels a job. After it has returned, no item of the job completes.
func (j *Jobs) Cancel(ctx context.Context, organisation, id string) (wharfjob.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		job, version, err := j.readJob(ctx, organisation, id)
		if err != nil || job.State != wharfjob.InProgress {
			return job, trace.Wrap(err)
		}
		job.State = wharfjob.Cancelled
		job.EndedAt = time.Now().UTC()
		key := wharfjob.JobKey(id)
		err = wharfstorage.Commit(ctx, j.storage, []wharfrow.Condition{wharfstorage.At(key, version)},
			wharfstorage.Put(key, job), wharfstorage.Delete(wharfjob.OpenKey(id)))
		if errors.Is(err, wharfrow.ErrConflict) {
			continue
		}
		if err != nil {
			return job, trace.Wrap(err)
		}
		return job, trace.Wrap(j.countResults(ctx, &job))
	}
}

// Results writes the result lines of a job's completed items to w, or those of its failed items if failed is set.
func (j *Jobs) Results(ctx context.Context, organisation, id string, failed bool, w io.Writer) error {
	if _, _, err := j.readJob(ctx, organisation, id); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(j.visitParts(ctx, id, func(part wharfjob.Part) error {
		if (failed && part.Failed == 0) || (!failed && part.Completed == 0) {
			return nil
		}
		data, err := j.storage.GetObject(ctx, part.Object)
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(filterResults(data, failed, w))
	}))
}

func filterResults(data []byte, failed bool, w io.Writer) error {
	for line := range bytes.Lines(data) {
		var result wharfjob.Result
		if err := json.Unmarshal(line, &result); err != nil {
			return trace.Wrap(err)
		}
		if (result.Error != nil) != failed {
			continue
		}
		if _, err := w.Write(line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
