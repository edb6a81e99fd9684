package wharfrollout

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfdelta"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	currentKey    = "config/current"
	historyPrefix = "config/history/"
	joinedPeriod  = 100 * time.Millisecond
	readerPeriod  = time.Second
	othersPeriod  = 30 * time.Second
	readersAZone  = 2
	offerTimeout  = time.Second
	confirmLimit  = 4 * time.Second
	confirmPeriod = 100 * time.Millisecond
	pullLimit     = 3 * time.Second
)

// Sentinel errors of a change of configuration.
var (
	// ErrNotSigned says that too few of the named signers have signed the bundle off.
	ErrNotSigned = errors.New("bundle is not signed off")
	// ErrStaleParent says that another change was accepted first.
	ErrStaleParent = errors.New("another configuration was accepted first")
)

// Options name what a rollout works with.
type Options struct {
	Zone               string
	Signers            map[string]ed25519.PublicKey
	RequiredSignatures int // signatures needed
	Storage            wharfstorage.Storage
	Member             *wharfmember.Member
	Peers              Peers
	Loop               *wharfcontrol.Loop
	OnChange           func(*wharfsnapshot.Snapshot) // called on the control goroutine after each change
}

// Rollout brings configurations into force on this host, in growing versions only, and on others.
type Rollout struct {
	options  Options
	snapshot atomic.Pointer[wharfsnapshot.Snapshot]
	pullMu   sync.Mutex
	epoch    atomic.Uint64 // incarnation that has caught up with its zone
}

// New returns a rollout with no configuration.
func New(options Options) *Rollout {
	return &Rollout{options: options}
}

// Snapshot returns the configuration in force, or nil.
func (r *Rollout) Snapshot() *wharfsnapshot.Snapshot {
	return r.snapshot.Load()
}

// CaughtUp reports whether this incarnation has read the configuration since it joined,
// so that it has every one that was reported in force before.
func (r *Rollout) CaughtUp() bool {
	view := r.options.Member.View()
	return view != nil && r.epoch.Load() == view.Self.Epoch
}

// Serve pulls configurations until ctx ends: at once after joining, often on two readers of each zone, seldom on the
// others.
func (r *Rollout) Serve(ctx context.Context) error {
	ticker := time.NewTicker(joinedPeriod)
	defer ticker.Stop()
	last := time.Time{}
	for {
		view := r.options.Member.View()
		if time.Since(last) >= r.period(view) {
			last = time.Now()
			r.pull(ctx, view)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Rollout) period(view *wharfmember.View) time.Duration {
	switch {
	case view != nil && !r.CaughtUp():
		return joinedPeriod
	case r.isReader(view):
		return readerPeriod
	}
	return othersPeriod
}

func (r *Rollout) isReader(view *wharfmember.View) bool {
	if view == nil {
		return true
	}
	order := wharfrank.Order("config-reader", view.LiveHosts())
	return slices.Contains(order[:min(readersAZone, len(order))], view.Self.Host)
}

// pull reads the row; a reader passes on what is new to its zone.
func (r *Rollout) pull(ctx context.Context, view *wharfmember.View) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	before := r.Snapshot()
	current, version, err := wharfstorage.Read[Current](ctx, r.options.Storage, currentKey)
	if err != nil {
		klog.V(1).InfoS("configuration's row not read", "configuration-version", versionOf(before), "error", err.Error())
		return
	}
	if version != 0 {
		if err := r.fetch(ctx, current); err != nil {
			klog.ErrorS(err, "configuration not read", "version", current.Version)
			return
		}
	}
	if view == nil {
		return
	}
	r.epoch.Store(view.Self.Epoch)
	if before != nil && version != 0 && current.Version > before.Version {
		r.offerAll(ctx, view.Zone.Members, current, before)
	}
}

// versionOf returns a snapshot's version, 0 for none.
func versionOf(snapshot *wharfsnapshot.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

// fetch reads the text of a version that is newer than the one in force.
func (r *Rollout) fetch(ctx context.Context, current Current) error {
	r.pullMu.Lock()
	defer r.pullMu.Unlock()
	if snapshot := r.Snapshot(); snapshot != nil && snapshot.Version >= current.Version {
		return nil
	}
	text, err := r.options.Storage.GetObject(ctx, objectKey(current.Hash))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.install(ctx, current, text))
}

func objectKey(hash string) string {
	return "config/" + hash
}

// install parses apart from the control goroutine and brings the configuration into force on it.
func (r *Rollout) install(ctx context.Context, current Current, text []byte) error {
	if wharfconfig.Hash(text) != current.Hash {
		return trace.Wrap(wharfdelta.ErrMismatch)
	}
	bundle, err := wharfconfig.Parse(text)
	if err != nil {
		return trace.Wrap(err)
	}
	next := wharfsnapshot.Build(current.Version, text, bundle)
	return trace.Wrap(r.options.Loop.Do(ctx, func() {
		if old := r.Snapshot(); old != nil && old.Version >= next.Version {
			return
		}
		r.snapshot.Store(next)
		klog.InfoS("configuration in force", "version", next.Version, "hash", next.Hash)
		if r.options.OnChange != nil {
			r.options.OnChange(next)
		}
	}))
}

// HandleOffer takes a configuration in and answers with the version in force.
func (r *Rollout) HandleOffer(ctx context.Context, request OfferRequest) (OfferReply, error) {
	snapshot := r.Snapshot()
	if snapshot == nil || snapshot.Version < request.Current.Version {
		if err := r.take(ctx, snapshot, request); err != nil {
			return OfferReply{}, trace.Wrap(err)
		}
	}
	reply := OfferReply{}
	if snapshot := r.Snapshot(); snapshot != nil {
		reply.Version = snapshot.Version
	}
	return reply, nil
}

func (r *Rollout) take(ctx context.Context, snapshot *wharfsnapshot.Snapshot, request OfferRequest) error {
	if snapshot != nil && snapshot.Hash == request.Base {
		text, err := request.Delta.Apply(snapshot.Text)
		if err == nil && r.install(ctx, request.Current, text) == nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	return trace.Wrap(r.fetch(ctx, request.Current))
}

// offerAll offers the configuration in force to members at once and returns the hosts that have confirmed it.
func (r *Rollout) offerAll(ctx context.Context, members []wharfzone.Member, current Current, before *wharfsnapshot.Snapshot) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	request := OfferRequest{Current: current}
	if snapshot := r.Snapshot(); before != nil && snapshot.Version == current.Version {
		request.Base = before.Hash
		request.Delta = wharfdelta.Between(before.Text, snapshot.Text)
	}
	var mu sync.Mutex
	confirmed := map[string]bool{}
	var calls sync.WaitGroup
	for _, member := range members {
		calls.Go(func() {
			if !r.offer(ctx, member, request) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed[memberName(member)] = true
		})
	}
	calls.Wait()
	return confirmed
}

func (r *Rollout) offer(ctx context.Context, member wharfzone.Member, request OfferRequest) bool {
	if member.Host == r.options.Member.Host() {
		snapshot := r.Snapshot()
		return snapshot != nil && snapshot.Version >= request.Current.Version
	}
	reply, err := r.options.Peers.Offer(ctx, member.Peer, request)
	return err == nil && reply.Version >= request.Current.Version
}

func memberName(member wharfzone.Member) string {
	return fmt.Sprintf("%s#%d", member.Host, member.Epoch)
}

// History returns the accepted configurations, oldest first.
func (r *Rollout) History(ctx context.Context) ([]Current, error) {
	history := []Current{}
	err := wharfstorage.ScanAll(ctx, r.options.Storage, historyPrefix, func(row wharfrow.Row) error {
		var current Current
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return trace.Wrap(err)
		}
		history = append(history, current)
		return nil
	})
	return history, trace.Wrap(err)
}

// Status returns, by host, the version that each registered host confirms, 0 for no answer.
func (r *Rollout) Status(ctx context.Context) (map[string]uint64, error) {
	members, err := r.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	versions := map[string]uint64{}
	for _, member := range members {
		calls.Go(func() {
			version := r.versionOf(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			versions[member.Host] = version
		})
	}
	calls.Wait()
	return versions, nil
}

func (r *Rollout) versionOf(ctx context.Context, member wharfzone.Member) uint64 {
	if member.Host == r.options.Member.Host() {
		if snapshot := r.Snapshot(); snapshot != nil {
			return snapshot.Version
		}
		return 0
	}
	reply, err := r.options.Peers.Offer(ctx, member.Peer, OfferRequest{})
	if err != nil {
		return 0
	}
	return reply.Version
}
