package wharfrollout

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

// Apply commits a signed bundle as the successor of version parent and waits until every registered host has confirmed
// it, up to confirmTimeout. Result.InForce is set only if all hosts have confirmed. The errors include ErrNotSigned and
// ErrStaleParent.
func (r *Rollout) Apply(ctx context.Context, parent uint64, signed Signed, operator string) (Result, error) {
	if _, err := wharfconfig.Parse(signed.Text); err != nil {
		return Result{}, trace.Wrap(err)
	}
	signers, err := r.verify(signed)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	current := Current{
		Version:   parent + 1,
		Hash:      wharfconfig.Hash(signed.Text),
		Signers:   signers,
		AppliedAt: time.Now().UTC(),
		AppliedBy: operator,
	}
	if err := r.commit(ctx, parent, current, signed); err != nil {
		return Result{}, trace.Wrap(err)
	}
	previous := r.Snapshot()
	if err := r.install(ctx, current, signed.Text); err != nil {
		return Result{}, trace.Wrap(err)
	}
	return r.confirm(ctx, current, previous), nil
}

func (r *Rollout) verify(signed Signed) ([]string, error) {
	var signers []string
	for _, s := range signed.Signatures {
		key, known := r.options.Signers[s.Signer]
		if known && ed25519.Verify(key, signed.Text, s.Bytes) && !slices.Contains(signers, s.Signer) {
			signers = append(signers, s.Signer)
		}
	}
	if len(signers) < r.options.RequiredSignatures {
		return nil, trace.Wrap(fmt.Errorf("%w: %d of %d signatures hold",
			ErrNotSigned, len(signers), r.options.RequiredSignatures))
	}
	return signers, nil
}

func (r *Rollout) commit(ctx context.Context, parent uint64, current Current, signed Signed) error {
	present, version, err := wharfstorage.Read[Current](ctx, r.options.Storage, currentKey)
	if err != nil {
		return trace.Wrap(err)
	}
	if present.Version != parent {
		return trace.Wrap(staleParentError(parent, present))
	}
	if err := r.options.Storage.PutObject(ctx, objectKey(current.Hash), signed.Text); err != nil {
		return trace.Wrap(err)
	}
	conditions := []wharfrow.Condition{wharfstorage.At(currentKey, version)}
	err = wharfstorage.Commit(ctx, r.options.Storage, conditions,
		wharfstorage.Put(currentKey, current),
		wharfstorage.Put(historyKey(current.Version), current))
	if errors.Is(err, wharfrow.ErrConflict) {
		present, _, readErr := wharfstorage.Read[Current](ctx, r.options.Storage, currentKey)
		if readErr != nil {
			return trace.Wrap(readErr)
		}
		return trace.Wrap(staleParentError(parent, present))
	}
	return trace.Wrap(err)
}

func staleParentError(parent uint64, present Current) error {
	return fmt.Errorf("%w: the change was made to version %d, but version %d (%.12s, by %s) is in force",
		ErrStaleParent, parent, present.Version, present.Hash, present.AppliedBy)
}

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%012d", historyPrefix, version)
}

// confirm offers the configuration until every registered host has confirmed it or confirmTimeout has passed.
func (r *Rollout) confirm(ctx context.Context, current Current, previous *wharfsnapshot.Snapshot) Result {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	result := Result{Version: current.Version, Hash: current.Hash}
	confirmed := map[string]bool{}
	for {
		members, err := r.members(ctx)
		if err == nil {
			pending := slices.DeleteFunc(members, func(m wharfzone.Member) bool { return confirmed[memberKey(m)] })
			for key := range r.offerAll(ctx, pending, current, previous) {
				confirmed[key] = true
			}
			result.Unconfirmed = unconfirmedHosts(pending, confirmed)
			result.InForce = len(result.Unconfirmed) == 0
		}
		if result.InForce {
			return result
		}
		select {
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return result
		}
	}
}

func unconfirmedHosts(members []wharfzone.Member, confirmed map[string]bool) []string {
	names := []string{}
	for _, m := range members {
		if !confirmed[memberKey(m)] {
			names = append(names, m.Host)
		}
	}
	return names
}

// members returns the registered members of all zones.
func (r *Rollout) members(ctx context.Context) ([]wharfzone.Member, error) {
	zones, err := wharfmember.ListZones(ctx, r.options.Storage)
	var members []wharfzone.Member
	for _, z := range zones {
		members = append(members, z.Members...)
	}
	return members, trace.Wrap(err)
}
