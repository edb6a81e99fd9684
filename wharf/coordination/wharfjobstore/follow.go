package wharfjobstore

import (
	"context"
	"strings"
	"time"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

const (
	// pollWait is how long the store holds the question for changes.
	pollWait = 1500 * time.Millisecond
	// pollInterval is the least time between two questions while jobs change all the time: a result that one host has shown
	// must be seen at every other within a second.
	pollInterval = 350 * time.Millisecond
	// freshnessLimit is the age of the feed's last answer up to which a result that it does not know is not there.
	freshnessLimit = 700 * time.Millisecond
	// unreachableAfter is how long the store may not have served this host before others run its jobs.
	unreachableAfter = 2500 * time.Millisecond
)

// Serve follows the jobs in the store until ctx ends.
func (b *Store) Serve(ctx context.Context) error {
	return wharffollower.New("batch jobs", pollInterval, b.feedVersion).Serve(ctx, func(ctx context.Context, full bool) error {
		err := b.poll(ctx, full)
		if ctx.Err() == nil {
			b.recordAvailability(err)
		}
		return err
	})
}

// feedVersion returns the version of the store up to which the feed has told all.
func (b *Store) feedVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *Store) poll(ctx context.Context, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	if full {
		return b.reload(ctx)
	}
	page, err := b.options.Records.Changes(ctx, jobTable, b.feedVersion(), pollWait)
	if err != nil {
		return err
	}
	b.cacheRows(page)
	b.advanceFeed(page)
	return nil
}

// reload reads every job; its version is that of a question asked before the parts were listed, so that no change is
// missed, not even in a part that comes into being meanwhile.
func (b *Store) reload(ctx context.Context) error {
	before, err := b.options.Records.Read(ctx, wharfrecords.Range{Table: jobTable, Part: partFor(""), Limit: 1})
	if err != nil {
		return err
	}
	names, err := b.options.Records.Parts(ctx, jobTable)
	if err != nil {
		return err
	}
	for _, name := range names {
		page, err := wharfrecords.ReadAll(ctx, b.options.Records, wharfrecords.Range{Table: jobTable, Part: name})
		if err != nil {
			return err
		}
		b.cacheRows(page)
	}
	b.advanceFeed(before)
	return nil
}

func (b *Store) advanceFeed(page wharfrecords.Page) {
	b.syncClock(page.Now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = max(b.version, page.Version)
	b.lastPoll = time.Now()
}

func (b *Store) cacheRows(page wharfrecords.Page) {
	for _, row := range page.Rows {
		if strings.HasSuffix(row.Key, "/") {
			continue // the gate of an organisation
		}
		if row.Deleted {
			b.evict(row.Key)
			continue
		}
		if job, ok := decodeJob(row); ok {
			b.cacheJob(job)
		}
	}
}

func (b *Store) evict(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.jobs, key)
	delete(b.items, key)
	delete(b.listed, key)
}
