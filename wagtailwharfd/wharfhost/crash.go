package wharfhost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfrank"
)

// publishDelay is how long a host leaves it to those that saw the crashes themselves to write a verdict to the store.
const publishDelay = time.Second

// reportCrash records that an endpoint crashed under a request and tells all live peers. It returns the largest number of
// crashes under one identity of the request.
func (h *Host) reportCrash(request wharfcrash.Request, endpoint wharffleet.Endpoint) int {
	crash := wharfcrash.Crash{
		Endpoint: xxhash.Sum64String(fmt.Sprint(endpoint.ID, " ", endpoint.Born.UnixMilli())),
		Request:  request,
		Proven:   h.crashes.Proven(request),
	}
	crashes, verdicts := h.crashes.Record(crash, time.Now())
	h.metrics.Count("crashes")
	h.putInForce(verdicts, 0)
	h.tellCrashes(wharfhostcalls.CrashReport{Crashes: []wharfcrash.Crash{crash}, Blocked: verdicts})
	h.sawCrash.Store(true)
	h.wakeSettling()
	return crashes
}

// wakeSettling makes settleCrashes look at the crashes that have been recorded.
func (h *Host) wakeSettling() {
	select {
	case h.crashRecorded <- struct{}{}:
	default:
	}
}

// settleInterval is the time between two looks at crashes that may suffice for a verdict.
const settleInterval = wharfcrash.SettleTime / 4

// settleCrashes puts the verdicts on parts of prompts in force until ctx is done.
func (h *Host) settleCrashes(ctx context.Context) error {
	for {
		select {
		case <-h.crashRecorded:
		case <-ctx.Done():
			return ctx.Err()
		}
		for pending := true; pending; {
			if !wharfpause.For(ctx, settleInterval) {
				return ctx.Err()
			}
			var verdicts []wharfcrash.Verdict
			verdicts, pending = h.crashes.Settle(time.Now())
			h.publishVerdicts(verdicts)
		}
	}
}

// publishVerdicts puts verdicts on parts in force. All hosts come to them by the same reports; those that saw a crash
// themselves tell the others, which may have missed a report.
func (h *Host) publishVerdicts(verdicts []wharfcrash.Verdict) {
	switch {
	case len(verdicts) == 0:
	case h.sawCrash.Swap(false):
		h.putInForce(verdicts, 0)
		h.tellCrashes(wharfhostcalls.CrashReport{Blocked: verdicts})
	default:
		h.putInForce(verdicts, publishDelay+rand.N(publishDelay))
	}
}

// reportAnswer records that an endpoint has begun to answer a request, and tells all live peers if it was suspected.
func (h *Host) reportAnswer(request wharfcrash.Request) {
	cleared := h.crashes.Answered(request, time.Now())
	if len(cleared) == 0 {
		return
	}
	h.blocklist.Withdraw(cleared, true)
	h.tellCrashes(wharfhostcalls.CrashReport{Cleared: cleared})
}

// takeCrashReport applies the report of another host, and tells it of verdicts that answers have refuted.
func (h *Host) takeCrashReport(report wharfhostcalls.CrashReport) {
	now := time.Now()
	h.crashes.Clear(report.Cleared)
	h.blocklist.Withdraw(report.Cleared, false)
	for _, crash := range report.Crashes {
		_, verdicts := h.crashes.Record(crash, now)
		h.putInForce(verdicts, publishDelay+rand.N(publishDelay))
		h.wakeSettling()
	}
	var refuted []wharfcrash.Identity
	for _, verdict := range report.Blocked {
		if h.crashes.Block(verdict, now) {
			refuted = append(refuted, verdict.Identity)
		}
	}
	if p, known := h.gossip.Peer(report.Host); known && len(refuted) > 0 {
		go h.sendCrashReport(p, wharfhostcalls.CrashReport{Cleared: refuted})
	}
}

// putInForce logs verdicts and has them written to the store, unless another host does so within the delay.
func (h *Host) putInForce(verdicts []wharfcrash.Verdict, delay time.Duration) {
	for _, v := range verdicts {
		h.metrics.Count("blocked")
		klog.InfoS("request blocked", "identity", v.Identity.String(), "crashes", v.Crashes,
			"age", time.Since(v.At).String(), "source", "crashes")
		h.blocklist.Publish(v, delay)
	}
}

// tellCrashes sends a report to all live peers.
func (h *Host) tellCrashes(report wharfhostcalls.CrashReport) {
	for _, p := range h.gossip.Peers() {
		if p.Presence == wharfgossip.Alive {
			go h.sendCrashReport(p, report)
		}
	}
}

// tellVerdicts sends the verdicts in force to a peer that has started or come back. In a large fleet, the hosts of its
// zone do so.
func (h *Host) tellVerdicts(p wharfgossip.Peer) {
	verdicts := h.crashes.Verdicts()
	if len(verdicts) > 0 && (p.Zone == h.settings.Zone || !h.allocator.Exact()) {
		go h.sendCrashReport(p, wharfhostcalls.CrashReport{Blocked: verdicts})
	}
}

func (h *Host) sendCrashReport(p wharfgossip.Peer, report wharfhostcalls.CrashReport) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	report.Host = h.settings.Host
	if err := h.peerClient.Strike(ctx, p.Address, report); err != nil {
		klog.InfoS("crash report to peer failed", "peer", p.Host, "error", err.Error())
	}
}

// tryBlocked reports whether this host may run a request with a blocked identity, as the trial that may clear it. One
// host of the fleet makes the trials of an identity, as long as it gets such requests.
func (h *Host) tryBlocked(id wharfcrash.Identity) bool {
	hosts := []string{h.settings.Host}
	for _, p := range h.gossip.Peers() {
		if p.Presence == wharfgossip.Alive {
			hosts = append(hosts, p.Host)
		}
	}
	owner := wharfrank.Order(id.String(), hosts)[0] == h.settings.Host
	if !h.crashes.TakeTrial(id, owner, time.Now()) {
		return false
	}
	klog.InfoS("trial of a blocked request", "identity", id.String())
	return true
}
