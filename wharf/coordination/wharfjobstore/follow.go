package wharfjobstore

import (
	"context"
	"strings"
	"time"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

const (
	// pollWait is how long the store holds a long poll for changes.
	pollWait = 1500 * time.Millisecond
	// pollInterval is the minimum time between two polls while jobs change all the time: a result that one host has
	// shown to a caller must be visible on every other host within a second.
	pollInterval = 350 * time.Millisecond
	// freshnessLimit is the maximum age of the last poll at which a result that is not cached is taken not to exist.
	freshnessLimit = 700 * time.Millisecond
	// unreachableAfter is how long the store may fail to answer this host before other hosts adopt its jobs.
	unreachableAfter = 2500 * time.Millisecond
)

// Serve keeps the cache up to date with the store until ctx ends.
func (s *Store) Serve(ctx context.Context) error {
	return wharffollower.New("batch jobs", pollInterval, s.feedVersion).Serve(ctx,
		func(ctx context.Context, full bool) error {
			err := s.poll(ctx, full)
			if ctx.Err() == nil {
				s.recordAvailability(err)
			}
			return err
		})
}

// feedVersion returns the version of the store up to which the cache is complete.
func (s *Store) feedVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Store) poll(ctx context.Context, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	if full {
		return s.reload(ctx)
	}
	page, err := s.options.Records.Changes(ctx, jobTable, s.feedVersion(), pollWait)
	if err != nil {
		return err
	}
	s.cacheRows(page)
	s.advanceFeed(page)
	return nil
}

// reload reads every job. The cache's version afterwards is that of a read made before the parts were listed, so that
// no change is missed, not even in a part that is created meanwhile.
func (s *Store) reload(ctx context.Context) error {
	before, err := s.options.Records.Read(ctx, wharfrecords.Range{Table: jobTable, Part: partFor(""), Limit: 1})
	if err != nil {
		return err
	}
	names, err := s.options.Records.Parts(ctx, jobTable)
	if err != nil {
		return err
	}
	for _, name := range names {
		page, err := wharfrecords.ReadAll(ctx, s.options.Records, wharfrecords.Range{Table: jobTable, Part: name})
		if err != nil {
			return err
		}
		s.cacheRows(page)
	}
	s.advanceFeed(before)
	return nil
}

func (s *Store) advanceFeed(page wharfrecords.Page) {
	s.syncClock(page.Now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, page.Version)
	s.lastPoll = time.Now()
}

func (s *Store) cacheRows(page wharfrecords.Page) {
	for _, row := range page.Rows {
		if strings.HasSuffix(row.Key, "/") {
			continue // an organisation's admission row
		}
		if row.Deleted {
			s.evict(row.Key)
			continue
		}
		if job, ok := decodeJob(row); ok {
			s.cacheJob(job)
		}
	}
}

func (s *Store) evict(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, key)
	s.dropItems(key)
	delete(s.listed, key)
}
