package wharfrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// directLimit bounds a call to the store before it is given up; the slowest answers seen take a few hundred
	// milliseconds.
	directLimit = 900 * time.Millisecond
	// relayLimit bounds a call through another host: its own call and the way there.
	relayLimit = time.Second
	// probePeriod is the time between two tries whether the store serves this host again, probeLimit bounds each.
	probePeriod = 300 * time.Millisecond
	probeLimit  = 400 * time.Millisecond
	// relayedWait is how long changes are waited for through another host, which need not hold a call for long.
	relayedWait = 300 * time.Millisecond
	// probeTable is a table that the probe reads; whether it exists does not matter.
	probeTable = "wharf-probe"
)

// Kind says which call a request stands for.
type Kind int

// The kinds of calls.
const (
	ReadCall Kind = iota + 1
	CommitCall
	ChangesCall
	PartsCall
	PutObjectCall
	GetObjectCall
	DropObjectCall
)

// Request is a call of the store that another host makes.
type Request struct {
	Kind        Kind
	Range       wharfrecords.Range
	Transaction wharfrecords.Transaction
	Table       string
	After       uint64
	Wait        time.Duration
	Object      string
	Data        []byte
}

// Reply is the store's answer; Failure names a sentinel error of wharfrecords.
type Reply struct {
	Page    wharfrecords.Page
	Parts   []string
	Data    []byte
	Failure Failure
}

// Failure stands for a sentinel error of wharfrecords.
type Failure int

var failures = []error{
	nil, wharfrecords.ErrConflict, wharfrecords.ErrUnavailable, wharfrecords.ErrUnknown, wharfrecords.ErrHistoryDropped,
	wharfrecords.ErrNotFound, wharfrecords.ErrExists,
}

func failureOf(err error) Failure {
	for i, sentinel := range failures {
		if i > 0 && errors.Is(err, sentinel) {
			return Failure(i)
		}
	}
	if err != nil {
		return Failure(len(failures))
	}
	return 0
}

func (f Failure) err() error {
	if int(f) < len(failures) {
		return failures[f]
	}
	return errRelayed
}

var errRelayed = errors.New("the store refused the call of another host")

// Options are a store's parts.
type Options struct {
	Direct wharfrecords.Store
	Zone   string
	Peers  func() []wharfgossip.Peer
	// Call has another host make a call.
	Call func(ctx context.Context, peer wharfgossip.Peer, request Request) (Reply, error)
	// Relayed, if not nil, is called for each call that another host made.
	OnRelayed func()
}

// Store makes calls itself while the store serves this host and has other hosts make them otherwise.
type Store struct {
	options Options
	mu      sync.Mutex
	down    bool
	since   time.Time
}

// New returns a store that takes the store to be there.
func New(options Options) *Store {
	return &Store{options: options}
}

// Reachable reports whether the store serves this host.
func (s *Store) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down
}

func (s *Store) mark(down bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.since = time.Now()
		klog.InfoS("dependency lost", "dependency", "store", "for", "this host's own calls", "error", err.Error())
		return
	}
	klog.InfoS("dependency regained", "dependency", "store", "for", "this host's own calls", "after", time.Since(s.since).String())
}

// Serve tries whether the store serves this host again, while it does not, until ctx ends.
func (s *Store) Serve(ctx context.Context) error {
	for wharfpause.For(ctx, probePeriod) {
		if s.Reachable() {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, probeLimit)
		_, err := s.options.Direct.Read(limited, wharfrecords.Range{Table: probeTable, Limit: 1})
		cancel()
		if err == nil {
			s.mark(false, nil)
		}
	}
	return ctx.Err()
}

// Handle makes a call for another host.
func (s *Store) Handle(request Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), directLimit)
	defer cancel()
	reply, err := perform(ctx, s.options.Direct, request)
	reply.Failure = failureOf(err)
	return reply
}

func perform(ctx context.Context, store wharfrecords.Store, r Request) (reply Reply, err error) {
	switch r.Kind {
	case ReadCall:
		reply.Page, err = store.Read(ctx, r.Range)
	case CommitCall:
		reply.Page, err = store.Commit(ctx, r.Transaction)
	case ChangesCall:
		reply.Page, err = store.Changes(ctx, r.Table, r.After, r.Wait)
	case PartsCall:
		reply.Parts, err = store.Parts(ctx, r.Table)
	case PutObjectCall:
		err = store.PutObject(ctx, r.Object, r.Data)
	case GetObjectCall:
		reply.Data, err = store.GetObject(ctx, r.Object)
	case DropObjectCall:
		err = store.DeleteObject(ctx, r.Object)
	default:
		err = errRelayed
	}
	return reply, err
}

// writes reports whether a call whose reply is lost may have had an effect.
func (k Kind) writes() bool {
	return k == CommitCall || k == PutObjectCall || k == DropObjectCall
}

// call makes a call, through another host if the store does not serve this one and has surely not made it.
func (s *Store) call(ctx context.Context, r Request) (Reply, error) {
	if s.Reachable() {
		limited, cancel := context.WithTimeout(ctx, directLimit+r.Wait)
		reply, err := perform(limited, s.options.Direct, r)
		cancel()
		answered := !errors.Is(err, wharfrecords.ErrUnavailable) && !errors.Is(err, wharfrecords.ErrUnknown)
		if answered || ctx.Err() != nil { // a caller that has left says nothing of the store
			return reply, err
		}
		s.mark(true, err)
		if errors.Is(err, wharfrecords.ErrUnknown) {
			return reply, err
		}
	}
	peer, found := s.relay()
	if !found {
		return perform(ctx, s.options.Direct, r)
	}
	return s.through(ctx, peer, r)
}

func (s *Store) through(ctx context.Context, peer wharfgossip.Peer, r Request) (Reply, error) {
	r.Wait = min(r.Wait, relayedWait)
	limited, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	reply, err := s.options.Call(limited, peer, r)
	if err != nil && r.Kind.writes() {
		return reply, fmt.Errorf("%w: %w", wharfrecords.ErrUnknown, err)
	}
	if err != nil {
		return reply, fmt.Errorf("%w: %w", wharfrecords.ErrUnavailable, err)
	}
	if s.options.OnRelayed != nil {
		s.options.OnRelayed()
	}
	return reply, reply.Failure.err()
}

// relay draws a host that the store serves, of the own zone if there is one.
func (s *Store) relay() (wharfgossip.Peer, bool) {
	var near, far []wharfgossip.Peer
	for _, p := range s.options.Peers() {
		if p.Presence != wharfgossip.Alive || !p.LastMessage.Served || p.LastMessage.Leaving {
			continue
		}
		if p.Zone == s.options.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return wharfgossip.Peer{}, false
	}
	return near[rand.IntN(len(near))], true
}

// Read returns the rows of a range as of one moment.
func (s *Store) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	reply, err := s.call(ctx, Request{Kind: ReadCall, Range: r})
	return reply.Page, err
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	reply, err := s.call(ctx, Request{Kind: CommitCall, Transaction: t})
	return reply.Page, err
}

// Changes waits for rows of a table that have changed after a version, for a short time if another host asks.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (wharfrecords.Page, error) {
	reply, err := s.call(ctx, Request{Kind: ChangesCall, Table: table, After: after, Wait: wait})
	return reply.Page, err
}

// Parts returns the parts of a table.
func (s *Store) Parts(ctx context.Context, table string) ([]string, error) {
	reply, err := s.call(ctx, Request{Kind: PartsCall, Table: table})
	return reply.Parts, err
}

// PutObject stores an object under a new name.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := s.call(ctx, Request{Kind: PutObjectCall, Object: name, Data: data})
	return err
}

// GetObject returns an object.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	reply, err := s.call(ctx, Request{Kind: GetObjectCall, Object: name})
	return reply.Data, err
}

// DeleteObject removes an object if it is there.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := s.call(ctx, Request{Kind: DropObjectCall, Object: name})
	return err
}
