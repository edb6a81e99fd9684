package wharfjobrunner

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfrank"
)

const (
	// ownerTimeout is how long an owner may be unreachable before other hosts adopt its jobs.
	ownerTimeout = 2500 * time.Millisecond
	// isolatedOwnerTimeout replaces ownerTimeout on a host that reaches fewer than half of the other hosts, because
	// such a host is more likely to be partitioned itself.
	isolatedOwnerTimeout = 7 * time.Second
	// statusDelay is how long another host must be said not to reach the store, while this host does, until that is taken for
	// true: the time that word of its return takes to all hosts of a large fleet, two reports and a digest of other zones.
	// After an outage for all hosts, none must adopt the jobs of another for that, or think that it is the only one that can.
	statusDelay = 4 * time.Second
	// adoptionStagger is how long each host in the adoption order waits for the host before it.
	adoptionStagger = 700 * time.Millisecond
)

// adoptOrphans adopts the jobs whose owner can't run them. All hosts compute the same adoption order for a job, so that
// normally one host adopts it.
func (r *Runner) adoptOrphans(ctx context.Context) {
	unreachable := r.options.Jobs.Unreachable()
	r.mu.Lock()
	defer r.mu.Unlock()
	if unreachable {
		clear(r.orphanedSince)
		clear(r.storeUnreachableSince)
		return
	}
	if r.closing {
		return
	}
	now := time.Now()
	peers, alive := r.livePeers(now)
	isolated := 2*(len(alive)-1) < len(peers)
	seen := map[string]time.Time{}
	for _, job := range r.options.Jobs.OpenJobs() {
		reason := r.orphanReason(&job, peers, isolated, now)
		if reason == "" {
			continue
		}
		key := job.Key()
		since, known := r.orphanedSince[key]
		if !known {
			since = now
		}
		seen[key] = since
		rank := slices.Index(wharfrank.Order(key, r.mayHold(&job, alive, peers)), r.options.Host)
		if rank < 0 {
			continue // this host must not have the bodies of the items
		}
		if now.Sub(since) < time.Duration(rank)*adoptionStagger {
			continue
		}
		seen[key] = now // restart the stagger for the next attempt
		r.goroutines.Go(func() { r.adopt(ctx, job, reason) })
	}
	r.orphanedSince = seen
}

// livePeers returns all other hosts by name, and the names of the hosts that can run jobs, including this one. It clears
// StoreUnreachable of hosts of which that was not heard for statusDelay. The caller holds r.mu.
func (r *Runner) livePeers(now time.Time) (peers map[string]wharfgossip.Peer, alive []string) {
	peers = map[string]wharfgossip.Peer{}
	alive = []string{r.options.Host}
	unreachableSince := map[string]time.Time{}
	for _, p := range r.options.Peers() {
		if p.Status.StoreUnreachable {
			since, known := r.storeUnreachableSince[p.Host]
			if !known {
				since = now
			}
			unreachableSince[p.Host] = since
			p.Status.StoreUnreachable = now.Sub(since) >= statusDelay
		}
		peers[p.Host] = p
		if p.Presence == wharfgossip.Alive && !p.Status.Leaving && !p.Status.StoreUnreachable {
			alive = append(alive, p.Host)
		}
	}
	r.storeUnreachableSince = unreachableSince
	return peers, alive
}

// removeExpired removes jobs whose retention has ended; the host that ranks first for a job removes it.
func (r *Runner) removeExpired(ctx context.Context) {
	if r.options.Jobs.Unreachable() {
		return
	}
	r.mu.Lock()
	_, alive := r.livePeers(time.Now())
	r.mu.Unlock()
	for _, job := range r.options.Jobs.Expired(r.options.Retention + retentionMargin) {
		if wharfrank.First(job.Key(), alive) != r.options.Host {
			continue
		}
		r.goroutines.Go(func() {
			if err := r.options.Jobs.Remove(ctx, job); err != nil {
				klog.InfoS("failed to remove batch job", "request-id", job.ID, "row-version", job.Version,
					"error", err.Error())
				return
			}
			klog.InfoS("batch job removed", "request-id", job.ID, "organisation", job.Organisation,
				"row-version", job.Version)
		})
	}
}

// orphanReason returns why a job's owner can't run it, or "" if it can.
func (r *Runner) orphanReason(
	job *wharfjobstore.Job, peers map[string]wharfgossip.Peer, isolated bool, now time.Time,
) string {
	if job.Owner == r.options.Host {
		if job.Incarnation == r.options.Incarnation {
			return ""
		}
		return "owner restarted"
	}
	p, known := peers[job.Owner]
	timeout := ownerTimeout
	if isolated {
		timeout = isolatedOwnerTimeout
	}
	switch {
	case job.Owner == "":
		return "released by its owner"
	case !known && now.Sub(r.started) <= ownerTimeout:
		return "" // a host that has just started does not know all other hosts yet
	case !known:
		return "owner unknown"
	case p.Incarnation > job.Incarnation:
		return "owner restarted"
	case p.Presence == wharfgossip.Ended && !isolated:
		return "owner ended"
	case p.Presence == wharfgossip.Alive && p.Status.StoreUnreachable:
		return "owner can't reach the store"
	case p.Presence != wharfgossip.Alive && now.Sub(p.LastHeard) > timeout && now.Sub(r.started) > timeout:
		return "owner unreachable"
	}
	return ""
}

func (r *Runner) adopt(ctx context.Context, job wharfjobstore.Job, reason string) {
	adopted, err := r.options.Jobs.Adopt(ctx, job)
	if err != nil {
		if !errors.Is(err, wharfjobstore.ErrOwnershipLost) {
			klog.InfoS("failed to adopt batch job", "request-id", job.ID, "owner", job.Owner, "reason", reason,
				"error", err.Error())
		}
		return
	}
	klog.InfoS("batch job adopted", "request-id", job.ID, "organisation", job.Organisation, "owner", job.Owner,
		"reason", reason, "row-version", adopted.Version, "listed", len(adopted.ResultOrder),
		"items", len(adopted.ItemTokens))
}
