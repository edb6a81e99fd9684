package wharfreport

import (
	"context"
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/state/wharfpick"
)

const (
	queueLength        = 4096
	batchDelay         = 5 * time.Millisecond
	fullReportInterval = time.Second
	callTimeout        = 500 * time.Millisecond
)

// Report holds the number of online requests that one daemon has on each endpoint.
type Report struct {
	Daemon    string // name of the reporting host
	Endpoints []Count
}

// Count is the number of online requests on one endpoint.
type Count struct {
	Endpoint string
	Online   int
}

// Peers calls the hosts that schedule batch work.
type Peers interface {
	Report(ctx context.Context, to netip.AddrPort, report Report) error
}

// Reporter reports increased counts immediately and all counts periodically.
type Reporter struct {
	member   *wharfmember.Member
	runner   *wharfbatch.Runner
	peers    Peers
	picker   func() *wharfpick.Picker
	changed  chan *wharfpick.Endpoint
	lastSent map[string]int
}

// New returns a Reporter for a host's endpoints.
func New(
	member *wharfmember.Member, runner *wharfbatch.Runner, peers Peers, picker func() *wharfpick.Picker,
) *Reporter {
	return &Reporter{
		member:   member,
		runner:   runner,
		peers:    peers,
		picker:   picker,
		changed:  make(chan *wharfpick.Endpoint, queueLength),
		lastSent: map[string]int{},
	}
}

// MarkChanged queues an endpoint whose count has changed. It never blocks and drops the change if the queue is full,
// because the periodic reports contain all counts.
func (r *Reporter) MarkChanged(e *wharfpick.Endpoint) {
	select {
	case r.changed <- e:
	default:
	}
}

// Serve sends reports until ctx is done.
func (r *Reporter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(fullReportInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.changed:
			r.send(ctx, r.collectIncreases(ctx, e))
		case <-ticker.C:
			r.send(ctx, r.allCounts())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// collectIncreases collects for batchDelay the endpoints whose counts exceed the last reported ones.
func (r *Reporter) collectIncreases(ctx context.Context, e *wharfpick.Endpoint) []Count {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	counts := r.appendIncrease(nil, e)
	for {
		select {
		case e := <-r.changed:
			counts = r.appendIncrease(counts, e)
		case <-timer.C:
			return counts
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Reporter) appendIncrease(counts []Count, e *wharfpick.Endpoint) []Count {
	config := e.Config()
	online := e.Running()
	if online <= r.lastSent[config.Name] {
		return counts
	}
	r.lastSent[config.Name] = online
	return append(counts, Count{Endpoint: config.Name, Online: online})
}

func (r *Reporter) allCounts() []Count {
	var counts []Count
	for _, e := range r.picker().All() {
		name := e.Config().Name
		online := e.Running()
		if online == 0 && r.lastSent[name] == 0 {
			continue
		}
		r.lastSent[name] = online
		counts = append(counts, Count{Endpoint: name, Online: online})
	}
	return counts
}

// send sends each scheduling host the counts of its endpoints.
func (r *Reporter) send(ctx context.Context, counts []Count) {
	view := r.member.View()
	if len(counts) == 0 || view == nil {
		return
	}
	hosts := view.LiveHosts()
	reports := map[string][]Count{}
	for _, c := range counts {
		host := wharfbatch.Scheduler(c.Endpoint, hosts)
		reports[host] = append(reports[host], c)
	}
	for host, endpoints := range reports {
		if host == view.Self.Host {
			r.Handle(Report{Daemon: host, Endpoints: endpoints})
			continue
		}
		if to, ok := view.Zone.Find(host); ok {
			r.call(ctx, to.Peer, Report{Daemon: view.Self.Host, Endpoints: endpoints})
		}
	}
}

// call sends a report without waiting for the answer; the next report makes up for a lost one.
func (r *Reporter) call(ctx context.Context, to netip.AddrPort, report Report) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = r.peers.Report(ctx, to, report)
	}()
}

// Handle applies another daemon's report.
func (r *Reporter) Handle(report Report) {
	for _, c := range report.Endpoints {
		r.runner.Report(report.Daemon, c.Endpoint, c.Online)
	}
}
