package wharfjobstore

import (
	"context"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfmemory"
)

// keptItems are the items of a job with their memory.
type keptItems struct {
	items  []wharfcall.Item
	memory reservation
}

// reservation is the memory of a job's items, nil without a bound.
type reservation struct {
	*wharfmemory.Reservation
}

func (r reservation) release() {
	if r.Reservation != nil {
		r.Release()
	}
}

const (
	// itemOverhead is what an item takes beside its texts, and headerOverhead a header.
	itemOverhead   = 256
	headerOverhead = 128
	// itemsRoom is the memory that must be free before the items of a job are read, since their size is not known before. The
	// largest submission has 4 MiB in base64.
	itemsRoom = 3 << 20
)

// itemsSize returns about how many bytes items take.
func itemsSize(items []wharfcall.Item) int64 {
	size := 0
	for _, i := range items {
		size += itemOverhead + len(i.ID) + len(i.Path) + len(i.Body)
		for name, values := range i.Header {
			size += headerOverhead + len(name)
			for _, value := range values {
				size += len(value)
			}
		}
	}
	return int64(size)
}

// reserve reserves the memory of items. A job larger than all memory gets it all. The error is wharfmemory.ErrExhausted.
func (s *Store) reserve(ctx context.Context, items []wharfcall.Item) (reservation, error) {
	if s.options.Memory == nil {
		return reservation{}, nil
	}
	r := s.options.Memory.Open(nil)
	return reservation{r}, r.Grow(ctx, min(itemsSize(items), s.options.Memory.Size()))
}

// hasRoom reports whether the items of another job may be read.
func (s *Store) hasRoom() bool {
	memory := s.options.Memory
	return memory == nil || memory.Held() == 0 || memory.Size()-memory.Held() >= itemsRoom
}

// keepItems keeps the items of a job until it has ended.
func (s *Store) keepItems(key string, items keptItems) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropItems(key)
	if job, known := s.jobs[key]; known && !job.Pending() {
		items.memory.release()
		return
	}
	s.items[key] = items
}

// dropItems forgets the items of a job. The caller holds s.mu.
func (s *Store) dropItems(key string) {
	s.items[key].memory.release()
	delete(s.items, key)
}
