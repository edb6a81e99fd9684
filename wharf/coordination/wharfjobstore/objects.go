package wharfjobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfkey"
	"wagtailwharf.example/wharf/state/wharftask"
)

// errForeignObject means that an object's content does not fit its name, or that the object may be another job's.
var errForeignObject = errors.New("object is not that of the job")

// isLegacy reports whether an object's name is one that builds before wharfkey joined from escaped names with "-". Jobs of
// different organisations may have the same one.
func isLegacy(object string) bool {
	name, found := strings.CutPrefix(object, itemsPrefix)
	if !found {
		name = strings.TrimPrefix(object, outputPrefix)
	}
	return strings.Contains(name, "-")
}

// decodeOwnItems decodes the object with a job's items. It returns errForeignObject if the object is not certainly the job's:
// its content has another hash than its name or, with a legacy name, it has other items than the job's row, or the row of
// another job names it too.
func (s *Store) decodeOwnItems(job *Job, data []byte) ([]wharfcall.Item, error) {
	legacy := isLegacy(job.Object)
	if !legacy && job.Object != itemsObject(job.Organisation, job.ID, data) {
		return nil, errForeignObject
	}
	items, err := decodeItems(data)
	if err != nil || !legacy {
		return items, err
	}
	if !s.complete() {
		return nil, wharfrecords.ErrUnavailable // the rows of other jobs are not known
	}
	tokens := make([]int64, len(items))
	for i := range items {
		tokens[i] = items[i].Tokens
	}
	fits := func(j Job) bool { return slices.Equal(tokens, j.ItemTokens) }
	if !fits(*job) || slices.ContainsFunc(s.othersWithObject(job), fits) {
		return nil, errForeignObject
	}
	return items, nil
}

// complete reports whether all jobs have been read into the cache since the start.
func (s *Store) complete() bool {
	return s.feedVersion() > 0
}

// othersWithObject returns the other jobs whose rows name the object with a job's items.
func (s *Store) othersWithObject(job *Job) []Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []Job
	for key, other := range s.jobs {
		if other.Object == job.Object && key != job.Key() {
			others = append(others, other)
		}
	}
	return others
}

// sharesOutputs reports whether another organisation has a job of the same ID, with which the job may share output objects of
// legacy names.
func (s *Store) sharesOutputs(job *Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.jobs {
		if other.ID == job.ID && other.Organisation != job.Organisation {
			return true
		}
	}
	return false
}

// isOutput reports whether an object's name is that of an item's output.
func isOutput(object string, job *Job, itemID string, output []byte) bool {
	if !isLegacy(object) {
		return object == outputObject(job, itemID, output)
	}
	return object == fmt.Sprintf("%s%s-%x", outputPrefix, legacyEscape(job.ID), xxhash.Sum64String(itemID+string(output)))
}

// legacyEscape escapes a name as builds before wharfkey did: names that have the form of an escaped one stay as they are.
func legacyEscape(name string) string {
	if wharfkey.IsEscaped(name) {
		return name
	}
	return wharfkey.Escape(name)
}

// GiveUp ends a job whose items are lost: it lists a result with a reason for each item that has none. The results name no
// items, since only the items do.
func (s *Store) GiveUp(ctx context.Context, job Job, reason string) (Job, error) {
	for {
		updated, err := s.update(ctx, job, func(next *Job) ([]wharfrecords.Row, error) {
			if !next.Pending() || next.Owner != s.options.Host || next.Incarnation != s.options.Incarnation {
				return nil, ErrOwnershipLost
			}
			var rows []wharfrecords.Row
			listed := slices.Clone(next.ResultOrder)
			for i := 0; i < len(next.ItemTokens) && len(rows) < maxTransactionRows; i++ {
				if next.HasResult(i) {
					continue
				}
				rows = append(rows, wharfrecords.Row{
					Table: resultTable, Key: resultKey(next.Key(), len(listed)),
					Value: encode(resultRow{Result: wharftask.Result{Reason: reason}}),
				})
				listed = append(listed, uint8(i))
			}
			next.ResultOrder = listed
			return rows, nil
		})
		if err != nil || !updated.Pending() {
			return updated, err
		}
		job = updated
	}
}

// deleteObjects deletes the objects of a job that is removed, except those that another job may have too.
func (s *Store) deleteObjects(ctx context.Context, job *Job, outputs []string) error {
	sharedItems, sharedOutputs := len(s.othersWithObject(job)) > 0, s.sharesOutputs(job)
	for _, object := range append(outputs, job.Object) {
		if object == job.Object && sharedItems || object != job.Object && isLegacy(object) && sharedOutputs {
			klog.InfoS("object kept: another batch job may have it too", "request-id", job.ID, "organisation", job.Organisation,
				"object", object)
			continue
		}
		if err := s.options.Records.DeleteObject(ctx, object); err != nil {
			return err
		}
	}
	return nil
}
