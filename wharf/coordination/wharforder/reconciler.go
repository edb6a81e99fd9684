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
	reconcileInterval  = 2 * time.Second
	callTimeout        = 2 * time.Second
	maxConcurrentCalls = 16
	recheckRounds      = 15 // rounds between two checks of an endpoint that was in sync
)

// Order tells an endpoint which model version to run, with the fencing token of the sending host.
type Order struct {
	ModelVersion string `json:"model-version"`
	Fence        uint64 `json:"fence"`
}

// Endpoints calls endpoints about their orders.
type Endpoints interface {
	// CurrentOrder returns the order that an endpoint follows.
	CurrentOrder(ctx context.Context, endpoint wharfconfig.Endpoint) (Order, error)
	// SendOrder sends an order to an endpoint.
	SendOrder(ctx context.Context, endpoint wharfconfig.Endpoint, order Order) error
}

// Reconciler compares endpoints with the configuration and sends orders where they differ. An endpoint that ignores
// fencing tokens may follow a host whose lease has expired; reading the order back corrects that.
type Reconciler struct {
	zone      string
	member    *wharfmember.Member
	config    func() *wharfsnapshot.Snapshot
	endpoints Endpoints
	round     int
	inSync    map[string]uint64 // endpoint → configuration version in which it was in sync
	mu        sync.Mutex
}

// New returns a Reconciler for one host.
func New(
	zone string, member *wharfmember.Member, config func() *wharfsnapshot.Snapshot, endpoints Endpoints,
) *Reconciler {
	return &Reconciler{zone: zone, member: member, config: config, endpoints: endpoints, inSync: map[string]uint64{}}
}

// Serve reconciles the endpoints periodically until ctx is done.
func (r *Reconciler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Reconciler) reconcile(ctx context.Context) {
	config := r.config()
	view := r.member.View()
	if config == nil || !view.InForce(time.Now()) {
		return
	}
	r.round++
	hosts := view.LiveHosts()
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for _, service := range config.Services {
		for _, endpoint := range service.Endpoints {
			assigned := endpoint.Zone == r.zone && wharfbatch.Scheduler(endpoint.Name, hosts) == view.Self.Host
			if service.Version == "" || !assigned || r.skipsRound(endpoint.Name, config.Version) {
				continue
			}
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots }()
				r.reconcileEndpoint(ctx, endpoint, Order{ModelVersion: service.Version, Fence: view.Self.Epoch},
					config.Version)
			})
		}
	}
	calls.Wait()
}

// skipsRound reports whether an endpoint that was in sync needs no check in this round.
func (r *Reconciler) skipsRound(endpoint string, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inSync[endpoint] == version && r.round%recheckRounds != 0
}

func (r *Reconciler) reconcileEndpoint(
	ctx context.Context, endpoint wharfconfig.Endpoint, order Order, version uint64,
) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := r.endpoints.CurrentOrder(ctx, endpoint)
	if err != nil {
		klog.V(1).InfoS("failed to read endpoint order", "endpoint", endpoint.Name, "error", err.Error())
		return
	}
	if current.ModelVersion == order.ModelVersion {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inSync[endpoint.Name] = version
		return
	}
	if !r.member.InForce() {
		return
	}
	if err := r.endpoints.SendOrder(ctx, endpoint, order); err != nil {
		klog.V(1).InfoS("failed to send order to endpoint", "endpoint", endpoint.Name, "error", err.Error())
		return
	}
	klog.InfoS("order sent to endpoint", "endpoint", endpoint.Name,
		"model-version", order.ModelVersion, "fence", order.Fence)
}
