package wharfjobstore

import (
	"context"
	"strings"
	"time"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

const (
	// feedWait is how long the store holds the question for changes.
	feedWait = 1500 * time.Millisecond
	// feedPeriod is the least time between two questions while jobs change all the time: a result that one host has shown
	// must be seen at every other within a second.
	feedPeriod = 350 * time.Millisecond
	// freshFor is the age of the feed's last answer up to which a result that it does not know is not there.
	freshFor = 700 * time.Millisecond
	// strandedAfter is how long the store may not have served this host before others run its jobs.
	strandedAfter = 2500 * time.Millisecond
)

// Serve follows the jobs in the store until ctx ends.
func (b *Store) Serve(ctx context.Context) error {
	return wharffollower.New("batch jobs", feedPeriod, b.known).Serve(ctx, func(ctx context.Context, full bool) error {
		err := b.follow(ctx, full)
		if ctx.Err() == nil {
			b.note(err)
		}
		return err
	})
}

// known returns the version of the store up to which the feed has told all.
func (b *Store) known() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *Store) follow(ctx context.Context, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, feedWait+callLimit)
	defer cancel()
	if full {
		return b.readAll(ctx)
	}
	page, err := b.options.Records.Changes(ctx, jobTable, b.known(), feedWait)
	if err != nil {
		return err
	}
	b.takeRows(page)
	b.confirm(page)
	return nil
}

// readAll reads every job; its version is that of a question asked before the parts were listed, so that no change is
// missed, not even in a part that comes into being meanwhile.
func (b *Store) readAll(ctx context.Context) error {
	before, err := b.options.Records.Read(ctx, wharfrecords.Range{Table: jobTable, Part: partOf(""), Limit: 1})
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
		b.takeRows(page)
	}
	b.confirm(before)
	return nil
}

func (b *Store) confirm(page wharfrecords.Page) {
	b.clock(page.Now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = max(b.version, page.Version)
	b.heard = time.Now()
}

func (b *Store) takeRows(page wharfrecords.Page) {
	for _, row := range page.Rows {
		if strings.HasSuffix(row.Key, "/") {
			continue // the gate of an organisation
		}
		if row.Deleted {
			b.forget(row.Key)
			continue
		}
		if job, ok := jobOf(row); ok {
			b.take(job)
		}
	}
}

func (b *Store) forget(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.jobs, key)
	delete(b.items, key)
	delete(b.listed, key)
}
