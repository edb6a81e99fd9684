package wharfbatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
)

const (
	minOffersAge             = 400 * time.Millisecond
	offersAgeFactor          = 80 // a scan's result is used for this multiple of its duration
	maxOffersPerOrganisation = 2  // in one reply
	maxOffers                = 32 // in one reply
	offerTimeout             = 2 * time.Second
)

// Offer is an open job with unclaimed chunks, and the version of its row.
type Offer struct {
	Open    wharfjob.Open
	Version uint64
}

// OfferRequest asks for open jobs of services.
type OfferRequest struct {
	Services []string
}

// OfferReply holds open jobs, those with the earliest deadlines of each organisation.
type OfferReply struct {
	Offers []Offer
}

// Peers calls the host that reads the open jobs for its whole zone.
type Peers interface {
	Offers(ctx context.Context, to netip.AddrPort, request OfferRequest) (OfferReply, error)
}

// offerCache holds the result of the last scan of open jobs.
type offerCache struct {
	mu         sync.Mutex
	offers     []Offer
	validUntil time.Time
}

// offers returns open jobs with unclaimed chunks. It asks the one host that reads them for the whole zone, and reads
// them itself if that host fails to answer.
func (r *Runner) offers(ctx context.Context, demand map[string]int) ([]Offer, error) {
	request := OfferRequest{}
	for service, count := range demand {
		if count > 0 {
			request.Services = append(request.Services, service)
		}
	}
	view := r.options.Member.View()
	if !view.InForce(time.Now()) {
		return nil, trace.Wrap(wharfrow.ErrConflict)
	}
	reader, ok := view.Zone.Find(wharfrank.First("offers", view.LiveHosts()))
	if ok && reader.Host != view.Self.Host && r.options.Peers != nil {
		if reply, err := r.requestOffers(ctx, reader.Peer, request); err == nil {
			return reply.Offers, nil
		}
	}
	reply, err := r.HandleOffers(ctx, request)
	return reply.Offers, trace.Wrap(err)
}

func (r *Runner) requestOffers(ctx context.Context, reader netip.AddrPort, request OfferRequest) (OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	return r.options.Peers.Offers(ctx, reader, request)
}

// HandleOffers returns open jobs of the requested services. It caches a scan of the open jobs for offersAgeFactor
// times the scan's duration and at least minOffersAge, so that scanning stays a small part of the host's work.
func (r *Runner) HandleOffers(ctx context.Context, request OfferRequest) (OfferReply, error) {
	cache := &r.offerCache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	start := time.Now()
	if start.After(cache.validUntil) {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		offers, err := r.readOffers(ctx)
		if err != nil {
			return OfferReply{}, trace.Wrap(err)
		}
		cache.offers = offers
		cache.validUntil = time.Now().Add(max(minOffersAge, offersAgeFactor*time.Since(start)))
	}
	return OfferReply{Offers: selectOffers(cache.offers, request.Services)}, nil
}

func (r *Runner) readOffers(ctx context.Context) ([]Offer, error) {
	var offers []Offer
	err := wharfstorage.ScanAll(ctx, r.options.Storage, wharfjob.OpenPrefix, func(row wharfrow.Row) error {
		var open wharfjob.Open
		if err := json.Unmarshal(row.Value, &open); err != nil {
			return trace.Wrap(err)
		}
		if open.Next < open.Chunks {
			offers = append(offers, Offer{Open: open, Version: row.Version})
		}
		return nil
	})
	slices.SortFunc(offers, func(a, b Offer) int { return a.Open.Deadline.Compare(b.Open.Deadline) })
	return offers, trace.Wrap(err)
}

// selectOffers returns the jobs with the earliest deadlines of each organisation, or a random selection of maxOffers of
// them if there are more.
func selectOffers(offers []Offer, services []string) []Offer {
	counts := map[string]int{}
	var selected []Offer
	for _, o := range offers {
		if counts[o.Open.Organisation] >= maxOffersPerOrganisation || !slices.Contains(services, o.Open.Service) {
			continue
		}
		counts[o.Open.Organisation]++
		selected = append(selected, o)
	}
	if len(selected) > maxOffers {
		rand.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
		selected = selected[:maxOffers]
	}
	return selected
}
