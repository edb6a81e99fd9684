package wharfjobstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharftask"
)

// change applies a change to a job's row until it is done, is seen to be done, or edit refuses it.
func (b *Store) change(ctx context.Context, job Job, edit func(j *Job) ([]wharfrecords.Row, error)) (Job, error) {
	id := uuid.NewString()
	for {
		next := job
		rows, err := edit(&next)
		if err != nil {
			return job, err
		}
		next.TransactionID = id
		err = b.commit(ctx, job, &next, rows)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, wharfrecords.ErrUnavailable) {
			return job, err
		}
		seen, err := b.Fetch(ctx, job.Organisation, job.ID)
		if err != nil {
			return job, err
		}
		if seen.TransactionID == id {
			return seen, nil // the reply was lost
		}
		job = seen
	}
}

// commit makes one transaction and takes the outcome over; ErrConflict and ErrUnknown ask for a look at the row.
func (b *Store) commit(ctx context.Context, job Job, next *Job, rows []wharfrecords.Row) error {
	key := job.Key()
	puts := append([]wharfrecords.Row{{Table: jobTable, Key: key, Value: encode(next.Record)}}, rows...)
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := b.options.Records.Commit(limited, wharfrecords.Transaction{
		Part:       partOf(job.Organisation),
		Conditions: []wharfrecords.Condition{{Table: jobTable, Key: key, Version: job.Version}},
		Puts:       puts,
	})
	b.note(err)
	if err != nil {
		return err
	}
	next.Version = page.Version
	b.take(*next)
	return nil
}

// AppendResults adds results after those that are listed; ErrLost says that the job is not this host's any more.
func (b *Store) AppendResults(ctx context.Context, job Job, results []wharftask.Result) (Job, error) {
	return b.change(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
		if next.Cancelled || next.Owner != b.options.Host || next.Incarnation != b.options.Incarnation {
			return nil, ErrOwnershipLost
		}
		return b.resultRows(ctx, next, results)
	})
}

// resultRows returns the rows of results that are not listed yet, and lists them in the job.
func (b *Store) resultRows(ctx context.Context, next *Job, results []wharftask.Result) ([]wharfrecords.Row, error) {
	items, err := b.Items(ctx, next)
	if err != nil {
		return nil, err
	}
	var rows []wharfrecords.Row
	listed := append([]uint8(nil), next.ResultOrder...)
	for _, result := range results {
		item := indexOf(items, result.ItemID)
		if item < 0 || next.HasResult(item) {
			continue
		}
		row, err := b.resultRow(ctx, next, len(listed), result)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
		listed = append(listed, uint8(item))
	}
	next.ResultOrder = listed
	return rows, nil
}

func (b *Store) resultRow(ctx context.Context, job *Job, position int, result wharftask.Result) (wharfrecords.Row, error) {
	stored := resultRow{Result: result}
	if len(result.Output) > maxInline {
		stored.Object = fmt.Sprintf("wharf-output-%s-%x", clean(job.ID), xxhash.Sum64String(result.ItemID+result.Output))
		stored.Output = ""
		err := b.retry(ctx, func(ctx context.Context) error {
			return b.options.Records.PutObject(ctx, stored.Object, []byte(result.Output))
		})
		if err != nil && !errors.Is(err, wharfrecords.ErrExists) {
			return wharfrecords.Row{}, wharfrecords.ErrUnavailable
		}
	}
	return wharfrecords.Row{Table: resultTable, Key: resultKey(job.Key(), position), Value: encode(stored)}, nil
}

func indexOf(items []wharfcall.Item, id string) int {
	for i := range items {
		if items[i].ID == id {
			return i
		}
	}
	return -1
}

// End ends a job for its caller; a job that has ended stays so.
func (b *Store) End(ctx context.Context, organisation, id string) error {
	job, err := b.Fetch(ctx, organisation, id)
	if err != nil {
		return err
	}
	for {
		_, err = b.change(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
			next.Cancelled = true
			return nil, nil
		})
		if !errors.Is(err, wharfrecords.ErrUnavailable) || !wharfpause.For(ctx, firstPause+rand.N(firstPause)) {
			return err
		}
	}
}

// Adopt makes this host the one that runs a job whose owner seen in it can not.
func (b *Store) Adopt(ctx context.Context, job Job) (Job, error) {
	owner, incarnation := job.Owner, job.Incarnation
	return b.change(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
		if !next.Pending() || next.Owner != owner || next.Incarnation != incarnation {
			return nil, ErrOwnershipLost
		}
		next.Owner, next.Incarnation = b.options.Host, b.options.Incarnation
		return nil, nil
	})
}

// Release gives a job up, so that another host runs it, and keeps what its items have brought.
func (b *Store) Release(ctx context.Context, job Job, progress []wharftask.Progress) error {
	_, err := b.change(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
		if !next.Pending() || next.Owner != b.options.Host || next.Incarnation != b.options.Incarnation {
			return nil, ErrOwnershipLost
		}
		next.Owner, next.Incarnation = "", 0
		rows := progressRows(next, progress)
		next.HandedOver = next.HandedOver || len(rows) > 0
		return rows, nil
	})
	return err
}

func progressRows(job *Job, progress []wharftask.Progress) []wharfrecords.Row {
	var rows []wharfrecords.Row
	size := 0
	for _, p := range progress {
		size += len(p.Text)
		if len(p.Text) > maxInline || size > maxHanded {
			continue // it is run from its start
		}
		rows = append(rows, wharfrecords.Row{Table: progressTable, Key: resultKey(job.Key(), p.Item), Value: encode(p)})
	}
	return rows
}

// Progress returns what the items of a job had brought when an owner left.
func (b *Store) Progress(ctx context.Context, job *Job) ([]wharftask.Progress, error) {
	if !job.HandedOver {
		return nil, nil
	}
	rows, err := retried(ctx, b, func(ctx context.Context) ([]wharfrecords.Row, error) {
		return b.rowsOf(ctx, progressTable, job)
	})
	if err != nil {
		return nil, wharfrecords.ErrUnavailable
	}
	var progress []wharftask.Progress
	for _, row := range rows {
		var p wharftask.Progress
		if err := cbor.Unmarshal(row.Value, &p); err != nil {
			klog.ErrorS(err, "progress of an item can not be read; it is run from its start", "row", row.Key, "row-version", row.Version)
			continue
		}
		progress = append(progress, p)
	}
	return progress, nil
}

// Items returns the items of a job; errors are ErrUnavailable.
func (b *Store) Items(ctx context.Context, job *Job) ([]wharfcall.Item, error) {
	key := job.Key()
	b.mu.Lock()
	items := b.items[key]
	b.mu.Unlock()
	if items != nil {
		return items, nil
	}
	data, err := retried(ctx, b, func(ctx context.Context) ([]byte, error) {
		return b.options.Records.GetObject(ctx, job.Object)
	})
	if err != nil {
		return nil, wharfrecords.ErrUnavailable
	}
	items, err = decodeItems(data)
	if err != nil {
		klog.ErrorS(err, "items of a batch job can not be read", "request-id", job.ID, "organisation", job.Organisation)
		return nil, wharfrecords.ErrUnavailable
	}
	if job.Pending() && job.Owner == b.options.Host {
		b.mu.Lock()
		b.items[key] = items
		b.mu.Unlock()
	}
	return items, nil
}

// Results reads results from a position on, up to a size in bytes but at least one if there is one.
func (b *Store) Results(ctx context.Context, job Job, after, most int) (wharftask.Results, error) {
	results := wharftask.Results{Total: len(job.ItemTokens), Next: after}
	if after >= len(job.ResultOrder) {
		return results, nil
	}
	page, err := retried(ctx, b, func(ctx context.Context) (wharfrecords.Page, error) {
		return b.options.Records.Read(ctx, wharfrecords.Range{
			Table: resultTable, Part: partOf(job.Organisation), From: resultKey(job.Key(), after), To: job.Key() + "0",
		})
	})
	if err != nil {
		return results, wharfrecords.ErrUnavailable
	}
	size := 0
	for _, row := range page.Rows {
		result, err := b.result(ctx, row)
		if err != nil {
			return results, err
		}
		size += len(result.Output)
		if size > most && len(results.Results) > 0 {
			break
		}
		results.Results = append(results.Results, result)
		results.Next++
	}
	return results, nil
}

func (b *Store) result(ctx context.Context, row wharfrecords.Row) (wharftask.Result, error) {
	var stored resultRow
	if err := cbor.Unmarshal(row.Value, &stored); err != nil {
		klog.ErrorS(err, "result of a batch job can not be read", "row", row.Key, "row-version", row.Version)
		return stored.Result, wharfrecords.ErrUnavailable
	}
	if stored.Object == "" {
		return stored.Result, nil
	}
	data, err := retried(ctx, b, func(ctx context.Context) ([]byte, error) {
		return b.options.Records.GetObject(ctx, stored.Object)
	})
	if err != nil {
		return stored.Result, wharfrecords.ErrUnavailable
	}
	stored.Output = string(data)
	return stored.Result, nil
}

// Expired returns the jobs that nothing is left to do for and that were accepted longer than keep ago.
func (b *Store) Expired(keep time.Duration) []Job {
	now := b.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var expired []Job
	for _, job := range b.jobs {
		if !job.Pending() && now > job.AcceptedAt+keep {
			expired = append(expired, job)
		}
	}
	return expired
}

// Remove drops a job with its results and items, the job's row first, so that no part of it is found without the rest.
func (b *Store) Remove(ctx context.Context, job Job) error {
	part := partOf(job.Organisation)
	results, err := b.rowsOf(ctx, resultTable, &job)
	if err != nil {
		return err
	}
	progress, err := b.rowsOf(ctx, progressTable, &job)
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
		some := min(len(rows), removedRows)
		transaction.Deletes = append(transaction.Deletes, rows[:some]...)
		if _, err := b.options.Records.Commit(ctx, transaction); err != nil {
			return err
		}
		if rows = rows[some:]; len(rows) == 0 {
			break
		}
		transaction = wharfrecords.Transaction{Part: part}
	}
	b.forget(job.Key())
	for _, object := range append(outputsOf(results), job.Object) {
		if err := b.options.Records.DeleteObject(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

// outputsOf returns the objects that hold the outputs of results.
func outputsOf(rows []wharfrecords.Row) []string {
	var objects []string
	for _, row := range rows {
		var stored resultRow
		if err := cbor.Unmarshal(row.Value, &stored); err != nil {
			klog.ErrorS(err, "result of a batch job can not be read; its output may be left", "row", row.Key)
			continue
		}
		if stored.Object != "" {
			objects = append(objects, stored.Object)
		}
	}
	return objects
}

// rowsOf returns a job's rows of a table.
func (b *Store) rowsOf(ctx context.Context, table string, job *Job) ([]wharfrecords.Row, error) {
	page, err := wharfrecords.ReadAll(ctx, b.options.Records, wharfrecords.Range{
		Table: table, Part: partOf(job.Organisation), From: resultKey(job.Key(), 0), To: job.Key() + "0",
	})
	return page.Rows, err
}

// removedRows is the number of rows that one transaction removes beside the job's: a transaction has up to 100 entries.
const removedRows = 90
