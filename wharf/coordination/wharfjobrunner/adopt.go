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
	// quietFor is how long an owner may be out of reach before others run its jobs.
	quietFor = 2500 * time.Millisecond
	// isolatedFor is the same for a host that hears of less than half of the others, as it is more likely cut off itself.
	isolatedFor = 7 * time.Second
	// turn is how long each host in the order of adoption waits for the one before it.
	turn = 700 * time.Millisecond
)

// adoptOrphans takes over the jobs whose owner can't run them, one host for each in an order that all hosts share.
func (r *Runner) adoptOrphans(ctx context.Context) {
	if r.options.Jobs.Unreachable() {
		return
	}
	peers, alive := r.known()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return
	}
	isolated := 2*(len(alive)-1) < len(peers)
	now := time.Now()
	seen := map[string]time.Time{}
	for _, job := range r.options.Jobs.OpenJobs() {
		reason := r.orphaned(&job, peers, isolated, now)
		if reason == "" {
			continue
		}
		key := job.Key()
		since, known := r.orphans[key]
		if !known {
			since = now
		}
		seen[key] = since
		place := slices.Index(wharfrank.Order(key, alive), r.options.Host)
		if now.Sub(since) < time.Duration(place)*turn {
			continue
		}
		seen[key] = now // the next try comes after a turn of all
		r.running.Go(func() { r.adopt(ctx, job, reason) })
	}
	r.orphans = seen
}

// known returns all other hosts, and the names of those that can run jobs, this one included.
func (r *Runner) known() (peers map[string]wharfgossip.Peer, alive []string) {
	peers = map[string]wharfgossip.Peer{}
	alive = []string{r.options.Host}
	for _, p := range r.options.Peers() {
		peers[p.Host] = p
		if p.Presence == wharfgossip.Alive && !p.LastMessage.Leaving && !p.LastMessage.StoreUnreachable {
			alive = append(alive, p.Host)
		}
	}
	return peers, alive
}

// sweep removes jobs that need not be kept any more, each by the host that ranks first for it.
func (r *Runner) sweep(ctx context.Context) {
	_, alive := r.known()
	for _, job := range r.options.Jobs.Expired(r.options.Retention + keepMargin) {
		if wharfrank.First(job.Key(), alive) != r.options.Host {
			continue
		}
		r.running.Go(func() {
			if err := r.options.Jobs.Remove(ctx, job); err != nil {
				klog.InfoS("batch job not removed", "request-id", job.ID, "row-version", job.Version, "error", err.Error())
				return
			}
			klog.InfoS("batch job removed", "request-id", job.ID, "organisation", job.Organisation, "row-version", job.Version)
		})
	}
}

// orphaned returns why a job's owner can't run it, or "".
func (r *Runner) orphaned(job *wharfjobstore.Job, peers map[string]wharfgossip.Peer, isolated bool, now time.Time) string {
	if job.Owner == r.options.Host {
		if job.Incarnation == r.options.Incarnation {
			return ""
		}
		return "owner restarted"
	}
	p, known := peers[job.Owner]
	silence := quietFor
	if isolated {
		silence = isolatedFor
	}
	switch {
	case job.Owner == "":
		return "given up by its owner"
	case !known && now.Sub(r.started) <= quietFor:
		return "" // a host that has just started does not know all others yet
	case !known:
		return "owner unknown"
	case p.Incarnation > job.Incarnation:
		return "owner restarted"
	case p.Presence == wharfgossip.Ended && !isolated:
		return "owner ended"
	case p.Presence == wharfgossip.Alive && p.LastMessage.StoreUnreachable:
		return "the store does not serve its owner"
	case p.Presence != wharfgossip.Alive && now.Sub(p.LastHeard) > silence && now.Sub(r.started) > silence:
		return "owner out of reach"
	}
	return ""
}

func (r *Runner) adopt(ctx context.Context, job wharfjobstore.Job, reason string) {
	adopted, err := r.options.Jobs.Adopt(ctx, job)
	if err != nil {
		if !errors.Is(err, wharfjobstore.ErrOwnershipLost) {
			klog.InfoS("batch job not taken over", "request-id", job.ID, "owner", job.Owner, "reason", reason, "error", err.Error())
		}
		return
	}
	klog.InfoS("batch job taken over", "request-id", job.ID, "organisation", job.Organisation, "owner", job.Owner,
		"reason", reason, "row-version", adopted.Version, "listed", len(adopted.ResultOrder), "items", len(adopted.ItemTokens))
}
