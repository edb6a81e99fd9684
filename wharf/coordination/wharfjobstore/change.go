package wharfjobstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharftask"
)

// update applies edit to a job's row and retries on conflicts, starting from the row's newer version. The row's
// TransactionID tells whether a transaction with a lost reply was applied, unless another one has followed. It returns
// edit's error if edit refuses the change, ErrRejected if the store does, or ErrUnknown if a lost transaction may have made
// the change.
func (s *Store) update(ctx context.Context, job Job, edit func(j *Job) ([]wharfrecords.Row, error)) (Job, error) {
	id := uuid.NewString()
	replyLost := false
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		next := job
		rows, err := edit(&next)
		if err != nil && replyLost {
			return job, wharfrecords.ErrUnknown
		}
		if err != nil {
			return job, err
		}
		next.TransactionID = id
		err = s.commitUpdate(ctx, job, &next, rows)
		if err == nil {
			return next, nil
		}
		replyLost = replyLost || errors.Is(err, wharfrecords.ErrUnknown)
		if errors.Is(err, wharfrecords.ErrUnavailable) || errors.Is(err, wharfrecords.ErrRejected) {
			return job, err
		}
		seen, err := s.Fetch(ctx, job.Organisation, job.ID)
		if err != nil {
			return job, err
		}
		if seen.TransactionID == id {
			return seen, nil // the reply was lost
		}
		job = seen
		if !wharfpause.For(ctx, rand.N(pause)) {
			return job, abandoned(replyLost)
		}
	}
}

// abandoned returns the error of a change that is not tried again.
func abandoned(replyLost bool) error {
	if replyLost {
		return wharfrecords.ErrUnknown
	}
	return wharfrecords.ErrUnavailable
}

// commitUpdate makes one transaction and caches the job on success. After ErrConflict or ErrUnknown the caller must
// read the row again.
func (s *Store) commitUpdate(ctx context.Context, job Job, next *Job, rows []wharfrecords.Row) error {
	key := job.Key()
	puts := append([]wharfrecords.Row{{Table: jobTable, Key: key, Value: encode(next.Record)}}, rows...)
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := s.options.Records.Commit(limited, wharfrecords.Transaction{
		Part:       partFor(job.Organisation),
		Conditions: []wharfrecords.Condition{{Table: jobTable, Key: key, Version: job.Version}},
		Puts:       puts,
	})
	s.recordAvailability(err)
	if err != nil {
		return err
	}
	next.Version = page.Version
	s.cacheJob(*next)
	return nil
}

// AppendResults appends results of items that have none yet, in as many transactions as the store needs. An item whose output
// the store rejects is given up. AppendResults returns the job after the last transaction that succeeded, and
// ErrOwnershipLost if this host no longer owns the job.
func (s *Store) AppendResults(ctx context.Context, job Job, results []wharftask.Result) (Job, error) {
	for maxRows := maxTransactionRows; len(results) > 0; {
		written := 0
		updated, err := s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
			if next.Cancelled || next.Owner != s.options.Host || next.Incarnation != s.options.Incarnation {
				return nil, ErrOwnershipLost
			}
			rows, taken, err := s.resultRows(ctx, next, results, maxRows)
			written = taken
			return rows, err
		})
		switch {
		case errors.Is(err, wharfrecords.ErrRejected) && maxRows > 1:
			maxRows /= 2
			continue
		case errors.Is(err, wharfrecords.ErrRejected):
			klog.ErrorS(err, "result of batch item can't be stored", "request-id", results[0].ItemID, "job", job.ID,
				"organisation", job.Organisation, "completed", results[0].Completed, "bytes", len(results[0].Output))
			replacement := []wharftask.Result{{ItemID: results[0].ItemID, Reason: "its output can't be stored"}}
			if !results[0].Completed {
				replacement = nil // it stays unlisted, and must not hold up the others
			}
			results = slices.Concat(replacement, results[1:])
			continue
		case err != nil:
			return updated, err
		}
		job, results = updated, results[written:]
		maxRows = maxTransactionRows
	}
	return job, nil
}

// RecordFailures stores how many attempts at items have failed, by item, so that the next owner goes on from there. It returns the
// job after the transaction, and ErrOwnershipLost if this host no longer owns the job.
func (s *Store) RecordFailures(ctx context.Context, job Job, failures map[int]int) (Job, error) {
	return s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
		if next.Cancelled || next.Owner != s.options.Host || next.Incarnation != s.options.Incarnation {
			return nil, ErrOwnershipLost
		}
		for item, count := range failures {
			next.RecordFailures(item, count)
		}
		return nil, nil
	})
}

// resultRows returns the rows of results that the job does not list yet, as many as one transaction may have, and appends
// their items to the job's list. It also returns how many results these rows and those that are listed already make up.
func (s *Store) resultRows(
	ctx context.Context, next *Job, results []wharftask.Result, maxRows int,
) (rows []wharfrecords.Row, taken int, err error) {
	items, err := s.Items(ctx, next)
	if err != nil {
		return nil, 0, err
	}
	listed := append([]uint8(nil), next.ResultOrder...)
	size := 0
	for _, result := range results {
		item := itemIndex(items, result.ItemID)
		if item < 0 || slices.Contains(listed, uint8(item)) {
			taken++
			continue
		}
		row, err := s.resultRow(ctx, next, len(listed), result)
		if err != nil && len(rows) == 0 {
			return nil, 1, err
		}
		size += len(row.Value)
		if err != nil || len(rows) == maxRows || len(rows) > 0 && size > maxTransactionBytes {
			break
		}
		rows = append(rows, row)
		listed = append(listed, uint8(item))
		taken++
	}
	next.ResultOrder = listed
	return rows, taken, nil
}

// resultRow returns the row of a result, after storing an output of more than maxInlineBytes as an object.
func (s *Store) resultRow(
	ctx context.Context, job *Job, position int, result wharftask.Result,
) (wharfrecords.Row, error) {
	stored := resultRow{Result: result}
	if len(result.Output) > maxInlineBytes {
		stored.Object = outputObject(job, result.ItemID, []byte(result.Output))
		stored.Output = ""
		err := s.retry(ctx, func(ctx context.Context) error {
			return s.options.Records.PutObject(ctx, stored.Object, []byte(result.Output))
		})
		if errors.Is(err, wharfrecords.ErrRejected) {
			return wharfrecords.Row{}, err
		}
		if err != nil && !errors.Is(err, wharfrecords.ErrExists) {
			return wharfrecords.Row{}, wharfrecords.ErrUnavailable
		}
	}
	return wharfrecords.Row{Table: resultTable, Key: resultKey(job.Key(), position), Value: encode(stored)}, nil
}

func itemIndex(items []wharfcall.Item, id string) int {
	for i := range items {
		if items[i].ID == id {
			return i
		}
	}
	return -1
}

// End ends a job at its caller's request. Ending an ended job has no effect.
func (s *Store) End(ctx context.Context, organisation, id string) error {
	job, err := s.Fetch(ctx, organisation, id)
	if err != nil {
		return err
	}
	for {
		_, err = s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
			next.Cancelled = true
			return nil, nil
		})
		if !errors.Is(err, wharfrecords.ErrUnavailable) || !wharfpause.For(ctx, minBackoff+rand.N(minBackoff)) {
			return err
		}
	}
}

// Adopt makes this host the owner of a job. It returns ErrOwnershipLost if the owner is no longer the one in job, or
// the job has ended.
func (s *Store) Adopt(ctx context.Context, job Job) (Job, error) {
	owner, incarnation := job.Owner, job.Incarnation
	return s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
		if !next.Pending() || next.Owner != owner || next.Incarnation != incarnation {
			return nil, ErrOwnershipLost
		}
		next.Owner, next.Incarnation = s.options.Host, s.options.Incarnation
		return nil, nil
	})
}

// Release gives up ownership of a job, so that another host can adopt it, and stores the progress of its items, in as many
// transactions as the store needs. Ownership ends with the last one.
func (s *Store) Release(ctx context.Context, job Job, progress []wharftask.Progress) error {
	rows := progressRows(&job, progress)
	for {
		count := min(len(rows), maxTransactionRows)
		updated, err := s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
			if !next.Pending() || next.Owner != s.options.Host || next.Incarnation != s.options.Incarnation {
				return nil, ErrOwnershipLost
			}
			next.HandedOver = next.HandedOver || count > 0
			if count == len(rows) {
				next.Owner, next.Incarnation = "", 0
			}
			return rows[:count], nil
		})
		if errors.Is(err, wharfrecords.ErrRejected) && count > 0 {
			klog.ErrorS(err, "progress of batch items can't be stored; they start again", "request-id", job.ID, "items", len(rows))
			rows = nil
			continue
		}
		if err != nil || count == len(rows) {
			return err
		}
		job, rows = updated, rows[count:]
	}
}

func progressRows(job *Job, progress []wharftask.Progress) []wharfrecords.Row {
	var rows []wharfrecords.Row
	size := 0
	for _, p := range progress {
		size += len(p.Text)
		if len(p.Text) > maxInlineBytes || size > maxProgressBytes {
			continue // the item restarts from the beginning
		}
		rows = append(rows, wharfrecords.Row{Table: progressTable, Key: resultKey(job.Key(), p.Item), Value: encode(p)})
	}
	return rows
}

// Progress returns the progress of a job's items that a previous owner stored when it released the job.
func (s *Store) Progress(ctx context.Context, job *Job) ([]wharftask.Progress, error) {
	if !job.HandedOver {
		return nil, nil
	}
	rows, err := retryWithResult(ctx, s, func(ctx context.Context) ([]wharfrecords.Row, error) {
		return s.jobRows(ctx, progressTable, job)
	})
	if err != nil {
		return nil, wharfrecords.ErrUnavailable
	}
	var progress []wharftask.Progress
	for _, row := range rows {
		var p wharftask.Progress
		if err := cbor.Unmarshal(row.Value, &p); err != nil {
			klog.ErrorS(err, "failed to decode item progress; the item restarts from the beginning", "row", row.Key,
				"row-version", row.Version)
			continue
		}
		progress = append(progress, p)
	}
	return progress, nil
}

// Items returns the items of a job. It returns ErrItemsLost if they are not in the store or can't be told from those of
// another job, wharfmemory.ErrExhausted if there is no memory to keep them, and otherwise no error but ErrUnavailable.
func (s *Store) Items(ctx context.Context, job *Job) ([]wharfcall.Item, error) {
	key := job.Key()
	s.mu.Lock()
	kept, found := s.items[key]
	s.mu.Unlock()
	if found {
		return kept.items, nil
	}
	keep := job.Pending() && job.Owner == s.options.Host
	if keep && !s.hasRoom() {
		return nil, wharfmemory.ErrExhausted
	}
	data, err := retryWithResult(ctx, s, func(ctx context.Context) ([]byte, error) {
		return s.options.Records.GetObject(ctx, job.Object)
	})
	if errors.Is(err, wharfrecords.ErrNotFound) {
		return nil, ErrItemsLost
	}
	if err != nil {
		return nil, wharfrecords.ErrUnavailable
	}
	items, err := s.decodeOwnItems(job, data)
	if err != nil {
		klog.ErrorS(err, "failed to read batch job items", "request-id", job.ID, "organisation", job.Organisation,
			"object", job.Object, "row-version", job.Version)
		if errors.Is(err, errForeignObject) && isLegacy(job.Object) {
			return nil, ErrItemsLost
		}
		return nil, wharfrecords.ErrUnavailable // it was read wrong: the name is a hash of what is stored
	}
	if keep {
		memory, err := s.reserve(ctx, items)
		if err != nil {
			return nil, err
		}
		s.keepItems(key, keptItems{items: items, memory: memory})
	}
	return items, nil
}

// Results returns the results from position after on, up to maxBytes of output in total but at least one if there is
// any.
func (s *Store) Results(ctx context.Context, job Job, after, maxBytes int) (wharftask.Results, error) {
	results := wharftask.Results{Total: len(job.ItemTokens), Next: after}
	if after >= len(job.ResultOrder) {
		return results, nil
	}
	page, err := retryWithResult(ctx, s, func(ctx context.Context) (wharfrecords.Page, error) {
		return s.options.Records.Read(ctx, wharfrecords.Range{
			Table: resultTable, Part: partFor(job.Organisation), From: resultKey(job.Key(), after), To: resultKey(job.Key(), len(job.ResultOrder)),
		})
	})
	if err != nil {
		return results, wharfrecords.ErrUnavailable
	}
	size := 0
	for _, row := range page.Rows {
		result, err := s.result(ctx, &job, row)
		if err != nil {
			return results, err
		}
		size += len(result.Output)
		if size > maxBytes && len(results.Results) > 0 {
			break
		}
		results.Results = append(results.Results, result)
		results.Next++
	}
	return results, nil
}

func (s *Store) result(ctx context.Context, job *Job, row wharfrecords.Row) (wharftask.Result, error) {
	var stored resultRow
	if err := cbor.Unmarshal(row.Value, &stored); err != nil {
		klog.ErrorS(err, "failed to decode batch job result", "row", row.Key, "row-version", row.Version)
		return stored.Result, wharfrecords.ErrUnavailable
	}
	if stored.Object == "" {
		return stored.Result, nil
	}
	data, err := retryWithResult(ctx, s, func(ctx context.Context) ([]byte, error) {
		return s.options.Records.GetObject(ctx, stored.Object)
	})
	if err != nil {
		return stored.Result, wharfrecords.ErrUnavailable
	}
	if !isOutput(stored.Object, job, stored.ItemID, data) {
		klog.ErrorS(errForeignObject, "failed to read batch item output", "request-id", stored.ItemID, "job", job.ID,
			"organisation", job.Organisation, "object", stored.Object)
		return stored.Result, wharfrecords.ErrUnavailable
	}
	stored.Output = string(data)
	return stored.Result, nil
}

// Expired returns the jobs that are no longer open and were accepted more than retention ago.
func (s *Store) Expired(retention time.Duration) []Job {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []Job
	for _, job := range s.jobs {
		if !job.Pending() && now > job.AcceptedAt+retention {
			expired = append(expired, job)
		}
	}
	return expired
}

// Remove deletes a job with its results and items. It deletes the job's row first, so that an incomplete job is never
// visible.
func (s *Store) Remove(ctx context.Context, job Job) error {
	part := partFor(job.Organisation)
	results, err := s.jobRows(ctx, resultTable, &job)
	if err != nil {
		return err
	}
	progress, err := s.jobRows(ctx, progressTable, &job)
	if err != nil {
		return err
	}
	rows := slices.Concat(results, progress)
	transaction := wharfrecords.Transaction{
		Part:       part,
		Conditions: []wharfrecords.Condition{{Table: jobTable, Key: job.Key(), Version: job.Version}},
		Deletes:    []wharfrecords.Row{{Table: jobTable, Key: job.Key()}},
	}
	for {
		count := min(len(rows), maxTransactionRows)
		transaction.Deletes = append(transaction.Deletes, rows[:count]...)
		if _, err := s.options.Records.Commit(ctx, transaction); err != nil {
			return err
		}
		if rows = rows[count:]; len(rows) == 0 {
			break
		}
		transaction = wharfrecords.Transaction{Part: part}
	}
	s.evict(job.Key())
	return s.deleteObjects(ctx, &job, outputObjects(results))
}

// outputObjects returns the names of the objects that hold the outputs of results.
func outputObjects(rows []wharfrecords.Row) []string {
	var objects []string
	for _, row := range rows {
		var stored resultRow
		if err := cbor.Unmarshal(row.Value, &stored); err != nil {
			klog.ErrorS(err, "failed to decode batch job result; its output object may be orphaned", "row", row.Key)
			continue
		}
		if stored.Object != "" {
			objects = append(objects, stored.Object)
		}
	}
	return objects
}

// jobRows returns a job's rows in a table of results or progress.
func (s *Store) jobRows(ctx context.Context, table string, job *Job) ([]wharfrecords.Row, error) {
	page, err := wharfrecords.ReadAll(ctx, s.options.Records, wharfrecords.Range{
		Table: table, Part: partFor(job.Organisation), From: resultKey(job.Key(), 0), To: job.Key() + "0",
	})
	return page.Rows, err
}

const (
	// maxTransactionRows is the number of rows that one transaction writes or deletes besides the job's row and its condition:
	// known platforms take at most 100 entries.
	maxTransactionRows = 90
	// maxTransactionBytes bounds the values of these rows. Known platforms take 1 MB, and encoding adds a third to the size.
	maxTransactionBytes = 600 << 10
)
