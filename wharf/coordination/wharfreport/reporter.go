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
	queueLength   = 4096
	gatherTime    = 5 * time.Millisecond
	refreshPeriod = time.Second
	callTimeout   = 500 * time.Millisecond
)

// Report is the number of online requests that a daemon has on endpoints.
type Report struct {
	Daemon    string
	Endpoints []Count
}

// Count is the number of online requests on one endpoint.
type Count struct {
	Endpoint string
	Online   int
}

// Peers are the calls to the hosts that schedule batch.
type Peers interface {
	Report(ctx context.Context, to netip.AddrPort, report Report) error
}

// Reporter sends rising counts at once, and all counts now and then.
type Reporter struct {
	member *wharfmember.Member
	runner *wharfbatch.Runner
	peers  Peers
	picker func() *wharfpick.Picker
	rises  chan *wharfpick.Endpoint
	sent   map[string]int
}

// New returns a reporter for a host's endpoints.
func New(member *wharfmember.Member, runner *wharfbatch.Runner, peers Peers, picker func() *wharfpick.Picker) *Reporter {
	return &Reporter{
		member: member,
		runner: runner,
		peers:  peers,
		picker: picker,
		rises:  make(chan *wharfpick.Endpoint, queueLength),
		sent:   map[string]int{},
	}
}

// MarkChanged notes that an endpoint's count has changed; it never blocks.
func (r *Reporter) MarkChanged(e *wharfpick.Endpoint) {
	select {
	case r.rises <- e:
	default:
	}
}

// Serve sends reports until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.rises:
			r.send(ctx, r.risen(ctx, e))
		case <-ticker.C:
			r.send(ctx, r.all())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// risen gathers, for a moment, the endpoints whose counts are above what was sent last.
func (r *Reporter) risen(ctx context.Context, e *wharfpick.Endpoint) []Count {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	counts := r.add(nil, e)
	for {
		select {
		case e := <-r.rises:
			counts = r.add(counts, e)
		case <-timer.C:
			return counts
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Reporter) add(counts []Count, e *wharfpick.Endpoint) []Count {
	config := e.Config()
	online := e.Running()
	if online <= r.sent[config.Name] {
		return counts
	}
	r.sent[config.Name] = online
	return append(counts, Count{Endpoint: config.Name, Online: online})
}

func (r *Reporter) all() []Count {
	var counts []Count
	for _, e := range r.picker().All() {
		name := e.Config().Name
		online := e.Running()
		if online == 0 && r.sent[name] == 0 {
			continue
		}
		r.sent[name] = online
		counts = append(counts, Count{Endpoint: name, Online: online})
	}
	return counts
}

// send tells each scheduling host of its endpoints.
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

// call does not wait for the answer, since the next report makes up for a lost one.
func (r *Reporter) call(ctx context.Context, to netip.AddrPort, report Report) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = r.peers.Report(ctx, to, report)
	}()
}

// Handle takes in the report of a daemon.
func (r *Reporter) Handle(report Report) {
	for _, c := range report.Endpoints {
		r.runner.Report(report.Daemon, c.Endpoint, c.Online)
	}
}
