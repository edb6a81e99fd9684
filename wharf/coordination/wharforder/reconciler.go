package wharforder

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
)

const (
	roundPeriod  = 2 * time.Second
	callTimeout  = 2 * time.Second
	atOnce       = 16
	steadyRounds = 15 // rounds between two looks at an endpoint that was in order
)

// Order tells an endpoint which version to run, with the fencing number of who gives it.
type Order struct {
	ModelVersion string `json:"model-version"`
	Fence        uint64 `json:"fence"`
}

// Endpoints are the calls about orders to endpoints.
type Endpoints interface {
	// CurrentOrder reads back the order that an endpoint follows.
	CurrentOrder(ctx context.Context, endpoint wharfconfig.Endpoint) (Order, error)
	// SendOrder gives an order.
	SendOrder(ctx context.Context, endpoint wharfconfig.Endpoint, order Order) error
}

// Reconciler compares endpoints with the configuration and gives orders where they differ. An endpoint that ignores
// fencing numbers may follow a host that has lost its authority for a while; reading back mends that.
type Reconciler struct {
	zone      string
	member    *wharfmember.Member
	config    func() *wharfsnapshot.Snapshot
	endpoints Endpoints
	rounds    int
	steady    map[string]uint64 // endpoint → configuration version in which it was in order
	mu        sync.Mutex
}

// New returns the orders of one host.
func New(zone string, member *wharfmember.Member, config func() *wharfsnapshot.Snapshot, endpoints Endpoints) *Reconciler {
	return &Reconciler{zone: zone, member: member, config: config, endpoints: endpoints, steady: map[string]uint64{}}
}

// Serve compares and orders until ctx ends.
func (o *Reconciler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(roundPeriod)
	defer ticker.Stop()
	for {
		o.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *Reconciler) round(ctx context.Context) {
	config := o.config()
	view := o.member.View()
	if config == nil || !view.InForce(time.Now()) {
		return
	}
	o.rounds++
	hosts := view.LiveHosts()
	slots := make(chan struct{}, atOnce)
	var calls sync.WaitGroup
	for _, service := range config.Services {
		for _, endpoint := range service.Endpoints {
			mine := endpoint.Zone == o.zone && wharfbatch.Scheduler(endpoint.Name, hosts) == view.Self.Host
			if service.Version == "" || !mine || o.rests(endpoint.Name, config.Version) {
				continue
			}
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots }()
				o.fit(ctx, endpoint, Order{ModelVersion: service.Version, Fence: view.Self.Epoch}, config.Version)
			})
		}
	}
	calls.Wait()
}

func (o *Reconciler) rests(endpoint string, version uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.steady[endpoint] == version && o.rounds%steadyRounds != 0
}

func (o *Reconciler) fit(ctx context.Context, endpoint wharfconfig.Endpoint, order Order, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	present, err := o.endpoints.CurrentOrder(ctx, endpoint)
	if err != nil {
		klog.V(1).InfoS("endpoint's order not read", "endpoint", endpoint.Name, "error", err.Error())
		return
	}
	if present.ModelVersion == order.ModelVersion {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.steady[endpoint.Name] = version
		return
	}
	if !o.member.InForce() {
		return
	}
	if err := o.endpoints.SendOrder(ctx, endpoint, order); err != nil {
		klog.V(1).InfoS("order not taken", "endpoint", endpoint.Name, "error", err.Error())
		return
	}
	klog.InfoS("order given", "endpoint", endpoint.Name, "model-version", order.ModelVersion, "fence", order.Fence)
}
