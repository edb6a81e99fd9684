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
	currentKey         = "config/current"
	historyPrefix      = "config/history/"
	catchUpInterval    = 100 * time.Millisecond
	readerPullInterval = time.Second
	pullInterval       = 30 * time.Second
	readersPerZone     = 2
	offerTimeout       = time.Second
	confirmTimeout     = 4 * time.Second
	confirmInterval    = 100 * time.Millisecond
	pullTimeout        = 3 * time.Second
)

// Sentinel errors of a change of configuration.
var (
	// ErrNotSigned is returned when a bundle has too few valid signatures of known signers.
	ErrNotSigned = errors.New("bundle is not signed off")
	// ErrStaleParent is returned when the configuration has changed since the parent version.
	ErrStaleParent = errors.New("another configuration was accepted first")
)

// Options holds a rollout's dependencies and settings.
type Options struct {
	Zone               string
	Signers            map[string]ed25519.PublicKey
	RequiredSignatures int // number of distinct signers
	Storage            wharfstorage.Storage
	Member             *wharfmember.Member
	Peers              Peers
	Loop               *wharfcontrol.Loop
	OnChange           func(*wharfsnapshot.Snapshot) // called on the control goroutine after each change
}

// Rollout installs configurations on this host, only ever with increasing versions, and offers them to other hosts.
type Rollout struct {
	options       Options
	snapshot      atomic.Pointer[wharfsnapshot.Snapshot]
	fetchMu       sync.Mutex
	caughtUpEpoch atomic.Uint64 // member epoch at the last pull
}

// New returns a rollout with no configuration.
func New(options Options) *Rollout {
	return &Rollout{options: options}
}

// Snapshot returns the configuration in force, or nil.
func (r *Rollout) Snapshot() *wharfsnapshot.Snapshot {
	return r.snapshot.Load()
}

// CaughtUp reports whether this incarnation has read the configuration since it joined, so that it has every
// configuration that was reported in force before it joined.
func (r *Rollout) CaughtUp() bool {
	view := r.options.Member.View()
	return view != nil && r.caughtUpEpoch.Load() == view.Self.Epoch
}

// Serve pulls configurations until ctx ends: immediately after joining, then every readerPullInterval on two readers of
// each zone and every pullInterval on the other hosts.
func (r *Rollout) Serve(ctx context.Context) error {
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	lastPull := time.Time{}
	for {
		view := r.options.Member.View()
		if time.Since(lastPull) >= r.pullPeriod(view) {
			lastPull = time.Now()
			r.pull(ctx, view)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Rollout) pullPeriod(view *wharfmember.View) time.Duration {
	switch {
	case view != nil && !r.CaughtUp():
		return catchUpInterval
	case r.isReader(view):
		return readerPullInterval
	}
	return pullInterval
}

func (r *Rollout) isReader(view *wharfmember.View) bool {
	if view == nil {
		return true
	}
	order := wharfrank.Order("config-reader", view.LiveHosts())
	return slices.Contains(order[:min(readersPerZone, len(order))], view.Self.Host)
}

// pull reads the current configuration and offers it to the zone's members if it replaces an older one on this host.
func (r *Rollout) pull(ctx context.Context, view *wharfmember.View) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	previous := r.Snapshot()
	current, version, err := wharfstorage.Read[Current](ctx, r.options.Storage, currentKey)
	if err != nil {
		klog.V(1).InfoS("failed to read current configuration row",
			"configuration-version", snapshotVersion(previous), "error", err.Error())
		return
	}
	if version != 0 {
		if err := r.fetch(ctx, current); err != nil {
			klog.ErrorS(err, "failed to fetch configuration", "version", current.Version)
			return
		}
	}
	if view == nil {
		return
	}
	r.caughtUpEpoch.Store(view.Self.Epoch)
	if previous != nil && version != 0 && current.Version > previous.Version {
		r.offerAll(ctx, view.Zone.Members, current, previous)
	}
}

// snapshotVersion returns a snapshot's version, or 0 if snapshot is nil.
func snapshotVersion(snapshot *wharfsnapshot.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

// fetch reads and installs the given version unless the version in force is at least as new.
func (r *Rollout) fetch(ctx context.Context, current Current) error {
	r.fetchMu.Lock()
	defer r.fetchMu.Unlock()
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

// install parses the configuration on the calling goroutine and puts it into force on the control goroutine.
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

// HandleOffer installs an offered configuration if it is newer and returns the version in force.
func (r *Rollout) HandleOffer(ctx context.Context, request OfferRequest) (OfferReply, error) {
	snapshot := r.Snapshot()
	if snapshot == nil || snapshot.Version < request.Current.Version {
		if err := r.applyOffer(ctx, snapshot, request); err != nil {
			return OfferReply{}, trace.Wrap(err)
		}
	}
	reply := OfferReply{}
	if snapshot := r.Snapshot(); snapshot != nil {
		reply.Version = snapshot.Version
	}
	return reply, nil
}

func (r *Rollout) applyOffer(ctx context.Context, snapshot *wharfsnapshot.Snapshot, request OfferRequest) error {
	if snapshot != nil && snapshot.Hash == request.Base {
		text, err := request.Delta.Apply(snapshot.Text)
		if err == nil && r.install(ctx, request.Current, text) == nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return trace.Wrap(r.fetch(ctx, request.Current))
}

// offerAll offers the configuration to members concurrently and returns the members that have confirmed it, by
// memberKey.
func (r *Rollout) offerAll(
	ctx context.Context, members []wharfzone.Member, current Current, previous *wharfsnapshot.Snapshot,
) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	request := OfferRequest{Current: current}
	if snapshot := r.Snapshot(); previous != nil && snapshot.Version == current.Version {
		request.Base = previous.Hash
		request.Delta = wharfdelta.Between(previous.Text, snapshot.Text)
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
			confirmed[memberKey(member)] = true
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

func memberKey(member wharfzone.Member) string {
	return fmt.Sprintf("%s#%d", member.Host, member.Epoch)
}

// History returns all accepted configurations, oldest first.
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

// Status returns the version in force on each registered host, by host name; 0 means that the host did not answer.
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
			version := r.memberVersion(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			versions[member.Host] = version
		})
	}
	calls.Wait()
	return versions, nil
}

func (r *Rollout) memberVersion(ctx context.Context, member wharfzone.Member) uint64 {
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
