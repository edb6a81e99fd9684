package wharfjobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharftask"
)

// writeLegacyJob writes a job as builds before wharfkey did: the object's name is joined with "-", and a name that is taken
// counts as an earlier attempt of the same submission.
func writeLegacyJob(t *testing.T, memory *wharfmemorystore.Store, organisation, id string, items []wharfcall.Item) {
	t.Helper()
	ctx := context.Background()
	object := "wharf-items-" + organisation + "-" + id
	if err := memory.PutObject(ctx, object, encode(items)); !errors.Is(err, wharfrecords.ErrExists) {
		assert.NilError(t, err)
	}
	record := wharftask.Record{
		ID: id, Organisation: organisation, Route: "r", Host: "h", Object: object, Owner: "old", Incarnation: 1, TransactionID: "t",
	}
	for _, item := range items {
		record.ItemTokens = append(record.ItemTokens, item.Tokens)
	}
	_, err := memory.Commit(ctx, wharfrecords.Transaction{
		Part: partFor(organisation),
		Puts: []wharfrecords.Row{{Table: jobTable, Key: jobKey(organisation, id), Value: encode(record)}},
	})
	assert.NilError(t, err)
}

// TestLegacyObjectOfTwoJobsIsNotRun guards against a host that runs the items of another organisation's job because both rows,
// written by a build before wharfkey, name one object (review/3, after an upgrade).
func TestLegacyObjectOfTwoJobsIsNotRun(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		writeLegacyJob(t, memory, "tema-nightly", "2026", items(3, 100))
		writeLegacyJob(t, memory, "tema", "nightly-2026", items(3, 100)) // the same tokens
		writeLegacyJob(t, memory, "volta-a", "b", items(3, 100))
		writeLegacyJob(t, memory, "volta", "a-b", items(2, 100)) // other tokens
		writeLegacyJob(t, memory, "alone", "job-1", items(3, 100))
		s := newStore(memory, "new")
		job, err := s.Fetch(ctx, "alone", "job-1")
		assert.NilError(t, err)
		_, err = s.Items(ctx, &job)
		assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable), "the other jobs are not known yet")
		assert.NilError(t, s.poll(ctx, true))
		for _, c := range []struct {
			organisation, id string
			err              error
		}{
			{"tema-nightly", "2026", ErrItemsLost},
			{"tema", "nightly-2026", ErrItemsLost},
			{"volta-a", "b", nil},
			{"volta", "a-b", ErrItemsLost},
			{"alone", "job-1", nil},
		} {
			job, err := s.Fetch(ctx, c.organisation, c.id)
			assert.NilError(t, err)
			list, err := s.Items(ctx, &job)
			assert.Assert(t, errors.Is(err, c.err), "%s: %v", c.organisation, err)
			assert.Equal(t, len(list) > 0, c.err == nil)
		}
	})
}

// TestJobWithLostItemsEnds guards against a job that is neither run nor ended because its items can't be read.
func TestJobWithLostItemsEnds(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		const count = maxTransactionRows + 30
		writeLegacyJob(t, memory, "org", "job", items(count, 100))
		s := newStore(memory, "new")
		job, err := s.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		job, err = s.Adopt(ctx, job)
		assert.NilError(t, err)
		assert.NilError(t, memory.DeleteObject(ctx, job.Object))
		_, err = s.Items(ctx, &job)
		assert.Assert(t, errors.Is(err, ErrItemsLost))
		job, err = s.GiveUp(ctx, job, "lost")
		assert.NilError(t, err)
		assert.Assert(t, !job.Pending())
		page, err := newStore(memory, "b").Results(ctx, job, 0, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Results), count)
		for _, result := range page.Results {
			assert.DeepEqual(t, result, wharftask.Result{Reason: "lost"})
		}
		_, err = newStore(memory, "b").GiveUp(ctx, job, "lost")
		assert.Assert(t, errors.Is(err, ErrOwnershipLost))
	})
}

// readStore replaces the content of objects that are read.
type readStore struct {
	wharfrecords.Store
	replace func(data []byte) []byte
}

func (s readStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := s.Store.GetObject(ctx, name)
	return s.replace(data), err
}

// TestObjectsAreReadWhole guards against items and outputs from an object that was read cut short, or is another one.
func TestObjectsAreReadWhole(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		accepting := newStore(memory, "a")
		assert.NilError(t, accepting.Submit(ctx, submission("job", 3)))
		job, err := accepting.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		output := strings.Repeat("x", maxInlineBytes+1)
		job, err = accepting.AppendResults(ctx, job, []wharftask.Result{{ItemID: "item-0", Completed: true, Output: output}})
		assert.NilError(t, err)
		for name, replace := range map[string]func(data []byte) []byte{
			"cut short": func(data []byte) []byte { return data[:max(0, len(data)-1)] },
			"empty":     func([]byte) []byte { return nil },
			"another":   func([]byte) []byte { return encode(items(3, 100)[:2]) },
		} {
			reading := newStore(readStore{memory, replace}, "b")
			_, err = reading.Items(ctx, &job)
			assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable), "%s: %v", name, err)
			_, err = reading.Results(ctx, job, 0, 1<<20)
			assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable), "%s: %v", name, err)
		}
	})
}

// TestRemovalKeepsObjectsOfOtherJobs guards against the removal of a job that takes the items or outputs of another one whose
// rows, written by a build before wharfkey, name the same objects.
func TestRemovalKeepsObjectsOfOtherJobs(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		output := strings.Repeat("x", maxInlineBytes+1)
		outputName := fmt.Sprintf("wharf-output-2026-%x", xxhash.Sum64String("item-0"+output))
		assert.NilError(t, memory.PutObject(ctx, outputName, []byte(output)))
		writeLegacyJob(t, memory, "tema-x", "2026", items(1, 100))
		writeLegacyJob(t, memory, "tema", "x-2026", items(1, 100))
		writeLegacyJob(t, memory, "volta", "2026", items(1, 100))
		s := newStore(memory, "new")
		assert.NilError(t, s.poll(ctx, true))
		for _, organisation := range []string{"tema-x", "volta"} {
			job, err := s.Fetch(ctx, organisation, "2026")
			assert.NilError(t, err)
			job.ResultOrder = []uint8{0}
			result := resultRow{Result: wharftask.Result{ItemID: "item-0", Completed: true}, Object: outputName}
			page, err := memory.Commit(ctx, wharfrecords.Transaction{Part: partFor(organisation), Puts: []wharfrecords.Row{
				{Table: jobTable, Key: job.Key(), Value: encode(job.Record)},
				{Table: resultTable, Key: resultKey(job.Key(), 0), Value: encode(result)},
			}})
			assert.NilError(t, err)
			job.Version = page.Version
			if organisation == "tema-x" {
				continue
			}
			assert.NilError(t, s.Remove(ctx, job))
		}
		job, err := s.Fetch(ctx, "tema-x", "2026")
		assert.NilError(t, err)
		results, err := s.Results(ctx, job, 0, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, results.Results[0].Output, output)
		assert.NilError(t, s.Remove(ctx, job))
		_, err = memory.GetObject(ctx, "wharf-items-tema-x-2026")
		assert.NilError(t, err, "the other job's row names it too")
		_, err = memory.GetObject(ctx, outputName)
		assert.Assert(t, errors.Is(err, wharfrecords.ErrNotFound), "no other job has it")
	})
}
