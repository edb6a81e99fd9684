package wharfonce

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	reserveTimeout = 3 * time.Second
	finishTimeout  = 10 * time.Second
)

// Sentinel errors of a reservation.
var (
	// ErrReserved says that the request was taken before and has no kept answer, so that it may have run.
	ErrReserved = errors.New("request was taken before and its outcome is not known")
	// ErrKeyReused says that the idempotency key stands for another request.
	ErrKeyReused = errors.New("idempotency key was used for another request")
)

// Reservations sees to it that a request with an idempotency key is sent at most once by all hosts together.
type Reservations struct {
	storage wharfstorage.Storage
}

// Record is the row of a reservation, and the answer once it is kept.
type Record struct {
	RequestID   string    `json:"request-id"`
	Fingerprint string    `json:"fingerprint"`
	ReservedAt  time.Time `json:"reserved-at"`
	Answered    bool      `json:"answered"`
	StatusCode  int       `json:"status-code"`
	ContentType string    `json:"content-type"`
	Body        []byte    `json:"body"`
}

// Request names what is to be sent at most once.
type Request struct {
	Organisation   string
	Service        string
	IdempotencyKey string
	RequestID      string
	Fingerprint    string
}

func (r *Request) key() string {
	return "once/" + r.Organisation + "/" + r.Service + "/" + wharfconfig.Hash([]byte(r.IdempotencyKey))
}

// New returns the reservations that are kept in storage.
func New(storage wharfstorage.Storage) *Reservations {
	return &Reservations{storage: storage}
}

// Reserve returns nil if the request may be sent now, the kept answer if there is one, or ErrReserved.
// Any other error says that nothing was reserved and that nothing may be sent.
func (r *Reservations) Reserve(ctx context.Context, request Request) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	record := Record{RequestID: request.RequestID, Fingerprint: request.Fingerprint, ReservedAt: time.Now().UTC()}
	conditions := []wharfrow.Condition{wharfstorage.At(request.key(), 0)}
	err := wharfstorage.Commit(ctx, r.storage, conditions, wharfstorage.Put(request.key(), record))
	if !errors.Is(err, wharfrow.ErrConflict) {
		return nil, trace.Wrap(err)
	}
	existing, _, err := wharfstorage.Read[Record](ctx, r.storage, request.key())
	switch {
	case err != nil:
		return nil, trace.Wrap(err)
	case existing.Fingerprint != request.Fingerprint:
		return nil, trace.Wrap(ErrKeyReused)
	case !existing.Answered:
		return nil, trace.Wrap(ErrReserved)
	}
	return &existing, nil
}

// SaveResponse stores the answer of a reserved request for those who send it again.
func (r *Reservations) SaveResponse(ctx context.Context, request Request, statusCode int, contentType string, body []byte) error {
	return trace.Wrap(r.replace(ctx, request, func(record *Record) *Record {
		record.Answered = true
		record.StatusCode = statusCode
		record.ContentType = contentType
		record.Body = body
		return record
	}))
}

// Release removes the reservation of a request that certainly did not run, so that it can be sent again.
func (r *Reservations) Release(ctx context.Context, request Request) error {
	return trace.Wrap(r.replace(ctx, request, func(*Record) *Record { return nil }))
}

func (r *Reservations) replace(ctx context.Context, request Request, change func(*Record) *Record) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	record, version, err := wharfstorage.Read[Record](ctx, r.storage, request.key())
	if err != nil {
		return trace.Wrap(err)
	}
	if record.RequestID != request.RequestID {
		return trace.Wrap(ErrReserved)
	}
	conditions := []wharfrow.Condition{wharfstorage.At(request.key(), version)}
	changed := change(&record)
	if changed == nil {
		return trace.Wrap(wharfstorage.Commit(ctx, r.storage, conditions, wharfstorage.Delete(request.key())))
	}
	return trace.Wrap(wharfstorage.Commit(ctx, r.storage, conditions, wharfstorage.Put(request.key(), changed)))
}
