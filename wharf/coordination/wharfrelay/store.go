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
	"wagtailwharf.example/wharf/state/wharfregion"
)

const (
	// directTimeout bounds a direct call to the store. The slowest answers observed take a few hundred milliseconds.
	directTimeout = 900 * time.Millisecond
	// relayTimeout bounds a call through another host: that host's own call and the round trip to it.
	relayTimeout = time.Second
	// probeInterval is the time between two attempts to reach the store again, and probeTimeout bounds each of them.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxRelayedWait caps the long poll of a relayed Changes call, so that the other host does not hold the call for
	// long.
	maxRelayedWait = 300 * time.Millisecond
	// probeTable is the table that probes read; it need not exist.
	probeTable = "wharf-probe"
)

// Kind identifies the store method that a request calls.
type Kind int

// The values of Kind.
const (
	ReadCall Kind = iota + 1
	CommitCall
	ChangesCall
	PartsCall
	PutObjectCall
	GetObjectCall
	DeleteObjectCall
)

// Request is a store call to be made by another host.
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

// Reply is the result of a relayed call.
type Reply struct {
	Page    wharfrecords.Page
	Parts   []string
	Data    []byte
	Failure Failure
}

// Failure encodes a sentinel error of wharfrecords; zero means success.
type Failure int

// sentinelErrors holds the error of each Failure. Failures are sent to other hosts, so the order must not change. Hosts of
// older builds send errRelayFailed for the last two.
var sentinelErrors = []error{
	nil, wharfrecords.ErrConflict, wharfrecords.ErrUnavailable, wharfrecords.ErrUnknown, wharfrecords.ErrHistoryDropped,
	wharfrecords.ErrNotFound, wharfrecords.ErrExists, errRelayFailed, wharfrecords.ErrRejected,
}

func failureOf(err error) Failure {
	for i, sentinel := range sentinelErrors {
		if i > 0 && errors.Is(err, sentinel) {
			return Failure(i)
		}
	}
	if err != nil {
		return relayFailed
	}
	return 0
}

func (f Failure) err() error {
	if int(f) < len(sentinelErrors) {
		return sentinelErrors[f]
	}
	return errRelayFailed
}

// relayFailed is the Failure of errors that have none of their own.
const relayFailed Failure = 7

var errRelayFailed = errors.New("relayed store call failed")

// Options configures a Store.
type Options struct {
	Direct wharfrecords.Store
	Zone   string
	// Regions are the regions of the zones, for calls whose context limits the regions that may hold what they carry.
	Regions wharfregion.Map
	Peers   func() []wharfgossip.Peer
	// Call sends a request to another host.
	Call func(ctx context.Context, peer wharfgossip.Peer, request Request) (Reply, error)
	// OnRelayed, if not nil, is called after each call that another host answered.
	OnRelayed func()
}

// Store calls the underlying store directly while it is reachable, and relays calls through other hosts otherwise. It
// is safe for concurrent use.
type Store struct {
	options   Options
	mu        sync.Mutex
	down      bool
	downSince time.Time
}

// New returns a Store that assumes that the underlying store is reachable.
func New(options Options) *Store {
	return &Store{options: options}
}

// Reachable reports whether this host reaches the store directly.
func (s *Store) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down
}

func (s *Store) setDown(down bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.downSince = time.Now()
		klog.InfoS("dependency lost", "dependency", "store", "for", "this host's own calls", "error", err.Error())
		return
	}
	klog.InfoS("dependency regained", "dependency", "store", "for", "this host's own calls",
		"after", time.Since(s.downSince).String())
}

// Serve probes the store while it is unreachable, until ctx is done.
func (s *Store) Serve(ctx context.Context) error {
	for wharfpause.For(ctx, probeInterval) {
		if s.Reachable() {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := s.options.Direct.Read(probeCtx, wharfrecords.Range{Table: probeTable, Limit: 1})
		cancel()
		if err == nil {
			s.setDown(false, nil)
		}
	}
	return ctx.Err()
}

// Handle makes a store call on behalf of another host.
func (s *Store) Handle(request Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	reply, err := execute(ctx, s.options.Direct, request)
	reply.Failure = failureOf(err)
	return reply
}

func execute(ctx context.Context, store wharfrecords.Store, r Request) (reply Reply, err error) {
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
	case DeleteObjectCall:
		err = store.DeleteObject(ctx, r.Object)
	default:
		err = errRelayFailed
	}
	return reply, err
}

// isWrite reports whether a call whose reply is lost may have changed the store.
func (k Kind) isWrite() bool {
	return k == CommitCall || k == PutObjectCall || k == DeleteObjectCall
}

// call makes a store call. It relays the call if the store is unreachable from this host and certainly has not
// executed it.
func (s *Store) call(ctx context.Context, r Request) (Reply, error) {
	if s.Reachable() {
		directCtx, cancel := context.WithTimeout(ctx, directTimeout+r.Wait)
		reply, err := execute(directCtx, s.options.Direct, r)
		cancel()
		answered := !errors.Is(err, wharfrecords.ErrUnavailable) && !errors.Is(err, wharfrecords.ErrUnknown)
		if answered || ctx.Err() != nil { // a cancelled call does not show that the store is down
			return reply, err
		}
		s.setDown(true, err)
		if errors.Is(err, wharfrecords.ErrUnknown) {
			return reply, err
		}
	}
	peer, found := s.selectPeer(wharfregion.LimitOf(ctx))
	if !found {
		return execute(ctx, s.options.Direct, r)
	}
	return s.callPeer(ctx, peer, r)
}

func (s *Store) callPeer(ctx context.Context, peer wharfgossip.Peer, r Request) (Reply, error) {
	r.Wait = min(r.Wait, maxRelayedWait)
	relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := s.options.Call(relayCtx, peer, r)
	if err != nil && r.Kind.isWrite() {
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

// selectPeer returns a random host that reaches the store, of this zone if there is one. Regions are those of which the host
// must be, nil for all; hosts of this host's own region hold what this host holds.
func (s *Store) selectPeer(regions []string) (wharfgossip.Peer, bool) {
	var sameZone, otherZones []wharfgossip.Peer
	for _, p := range s.options.Peers() {
		if p.Presence != wharfgossip.Alive || !p.Status.Served || p.Status.Leaving ||
			!s.options.Regions.Allows(p.Zone, regions) && !s.options.Regions.Same(p.Zone, s.options.Zone) {
			continue
		}
		if p.Zone == s.options.Zone {
			sameZone = append(sameZone, p)
		} else {
			otherZones = append(otherZones, p)
		}
	}
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	if len(sameZone) == 0 {
		return wharfgossip.Peer{}, false
	}
	return sameZone[rand.IntN(len(sameZone))], true
}

// Read returns a consistent page of the rows in a range.
func (s *Store) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	reply, err := s.call(ctx, Request{Kind: ReadCall, Range: r})
	return reply.Page, err
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	reply, err := s.call(ctx, Request{Kind: CommitCall, Transaction: t})
	return reply.Page, err
}

// Changes waits for rows of a table that changed after a version. A relayed call waits at most maxRelayedWait.
func (s *Store) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (wharfrecords.Page, error) {
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

// GetObject returns an object's data.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	reply, err := s.call(ctx, Request{Kind: GetObjectCall, Object: name})
	return reply.Data, err
}

// DeleteObject removes an object if it exists.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := s.call(ctx, Request{Kind: DeleteObjectCall, Object: name})
	return err
}
