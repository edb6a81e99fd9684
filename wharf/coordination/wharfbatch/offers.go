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
	offersAge    = 400 * time.Millisecond
	offersShare  = 80 // times the length of a scan that its outcome is used
	offersEach   = 2  // jobs of one organisation in one answer
	offersMost   = 32 // jobs in one answer
	offerTimeout = 2 * time.Second
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

// OfferReply is some of the open jobs, the most due of each organisation.
type OfferReply struct {
	Offers []Offer
}

// Peers are the calls to the host of the zone that reads the open jobs for all.
type Peers interface {
	Offers(ctx context.Context, to netip.AddrPort, request OfferRequest) (OfferReply, error)
}

// board holds the open jobs that were read last.
type board struct {
	mu     sync.Mutex
	offers []Offer
	until  time.Time
}

// offers returns open jobs with unclaimed chunks, read by one host for the whole zone.
func (r *Runner) offers(ctx context.Context, wanted map[string]int) ([]Offer, error) {
	request := OfferRequest{}
	for service, count := range wanted {
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
		if reply, err := r.askReader(ctx, reader.Peer, request); err == nil {
			return reply.Offers, nil
		}
	}
	reply, err := r.HandleOffers(ctx, request)
	return reply.Offers, trace.Wrap(err)
}

func (r *Runner) askReader(ctx context.Context, reader netip.AddrPort, request OfferRequest) (OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	return r.options.Peers.Offers(ctx, reader, request)
}

// HandleOffers answers with open jobs, which it reads seldom enough that reading stays a small part of its work.
func (r *Runner) HandleOffers(ctx context.Context, request OfferRequest) (OfferReply, error) {
	b := &r.board
	b.mu.Lock()
	defer b.mu.Unlock()
	begun := time.Now()
	if begun.After(b.until) {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		offers, err := r.readOffers(ctx)
		if err != nil {
			return OfferReply{}, trace.Wrap(err)
		}
		b.offers = offers
		b.until = time.Now().Add(max(offersAge, offersShare*time.Since(begun)))
	}
	return OfferReply{Offers: choose(b.offers, request.Services)}, nil
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

// choose returns the most due jobs of each organisation, and if there are too many a random part of them.
func choose(offers []Offer, services []string) []Offer {
	taken := map[string]int{}
	var chosen []Offer
	for _, o := range offers {
		if taken[o.Open.Organisation] >= offersEach || !slices.Contains(services, o.Open.Service) {
			continue
		}
		taken[o.Open.Organisation]++
		chosen = append(chosen, o)
	}
	if len(chosen) > offersMost {
		rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:offersMost]
	}
	return chosen
}
