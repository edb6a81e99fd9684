package wharfgossip

import (
	"slices"
	"time"
)

const (
	// digestChunk is the number of entries in a datagram, of some 100 bytes each.
	digestChunk = 80
	// otherZonesRounds is the number of rounds of which one tells a zone's hosts about the hosts of other zones.
	otherZonesRounds = 4
)

// sendDigests sends what this allocator knows: about its zone to the allocators of the other zones, and about all hosts
// to the hosts of its zone.
func (g *Gossip) sendDigests(f *fanout, round int) {
	own, others := g.digestEntries(f.all, time.Now())
	g.sendToRemoteAllocators(f, own)
	g.sendDigest(own, f.zonePeers)
	if round%otherZonesRounds == 0 {
		g.sendDigest(others, f.zonePeers)
	}
}

// sendNews sends the entries of the hosts that have started, ended or changed their readiness since the last call.
func (g *Gossip) sendNews(f *fanout) {
	g.mu.Lock()
	news := g.news
	g.news = map[string]bool{}
	g.mu.Unlock()
	if len(news) == 0 || !f.isAllocator() {
		return
	}
	isOld := func(entry DigestEntry) bool { return !news[entry.Host] }
	own, others := g.digestEntries(g.Peers(), time.Now())
	own, others = slices.DeleteFunc(own, isOld), slices.DeleteFunc(others, isOld)
	g.sendToRemoteAllocators(f, own)
	g.sendDigest(append(own, others...), f.zonePeers)
}

func (g *Gossip) sendToRemoteAllocators(f *fanout, entries []DigestEntry) {
	for zone := range f.remote {
		g.sendDigest(entries, f.digestReceivers(zone))
	}
}

// digestEntries returns the entries of the hosts of this zone, with this host, and of the hosts of the other zones.
// Hosts that are silent have none.
func (g *Gossip) digestEntries(peers []Peer, now time.Time) (own, others []DigestEntry) {
	self := g.options.Self
	own = append(own, DigestEntry{
		Host: self.Host, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation,
		Sequence: g.nextSequence(), Status: g.options.Status(),
	})
	for _, p := range peers {
		if p.Presence != Alive && p.Presence != Ended {
			continue
		}
		entry := DigestEntry{
			Host: p.Host, Zone: p.Zone, Address: p.Address, Incarnation: p.Incarnation, Sequence: p.statusSequence,
			Age: now.Sub(p.LastHeard), Status: p.Status,
		}
		if p.Presence == Ended {
			entry.Ended, entry.Age = true, now.Sub(p.endedAt)
		}
		if p.Zone == self.Zone {
			own = append(own, entry)
			continue
		}
		others = append(others, entry)
	}
	return own, others
}

// sendDigest sends entries in datagrams of limited size.
func (g *Gossip) sendDigest(entries []DigestEntry, receivers []Peer) {
	if len(receivers) == 0 {
		return
	}
	for chunk := range slices.Chunk(entries, digestChunk) {
		message := g.options.Self
		message.Partial, message.Digest = true, chunk
		g.send(&message, receivers)
	}
}

// forwardDigest passes a digest from another zone on to this zone's allocators, if this host is none of them: the sender
// does not know who they are.
func (g *Gossip) forwardDigest(m *Message) {
	f := g.currentFanout.Load()
	if m.Zone == g.options.Self.Zone || f == nil || f.small || f.rank >= 0 {
		return
	}
	g.sendDigest(m.Digest, f.changeReceivers())
}

// handleDigestEntry merges what an allocator knows of a host.
func (g *Gossip) handleDigestEntry(entry *DigestEntry, now time.Time) {
	if entry.Host == g.options.Self.Host {
		return
	}
	g.mu.Lock()
	p := g.peers[entry.Host]
	if p == nil {
		if entry.Ended || entry.Age > quietLimit(false, true) {
			g.mu.Unlock()
			return // a host that has left must not come back by hearsay
		}
		p = &Peer{Host: entry.Host}
		g.peers[entry.Host] = p
	}
	changed := p.mergeDigestEntry(entry, now, quietLimit(p.Zone == g.options.Self.Zone, true))
	if changed {
		g.recordChange(p)
	}
	snapshot := *p
	g.mu.Unlock()
	if changed {
		g.NotifyChange()
		g.options.OnPeerChange(snapshot)
	}
}

// recordChange makes the next fanout and digest follow a peer's change. The caller holds g.mu.
func (g *Gossip) recordChange(p *Peer) {
	g.fanoutStale = true
	g.news[p.Host] = true
}

// mergeDigestEntry reports whether the peer's presence, incarnation or readiness to allocate changed.
func (p *Peer) mergeDigestEntry(entry *DigestEntry, now time.Time, limit time.Duration) (changed bool) {
	heard := now.Add(-entry.Age)
	switch {
	case entry.Incarnation < p.Incarnation:
		return false
	case entry.Ended:
		if entry.Incarnation > p.Incarnation || p.Presence == Ended || p.LastHeard.After(heard) {
			return false
		}
		p.Presence, p.endedAt = Ended, heard
		return true
	case entry.Incarnation > p.Incarnation:
		p.startIncarnation(entry.Incarnation)
		changed = true
	}
	if heard.After(p.LastHeard) {
		p.LastHeard = heard
	}
	if p.Presence != Alive && p.LastHeard.After(p.endedAt) && now.Sub(p.LastHeard) < limit {
		p.Presence = Alive
		changed = true
	}
	if entry.Sequence >= p.statusSequence {
		changed = changed || selectionDiffers(p.Status, entry.Status)
		p.Zone, p.Address = entry.Zone, entry.Address
		p.Status, p.statusSequence = entry.Status, entry.Sequence
	}
	return changed
}

// selectionDiffers reports whether the change of a status may change which hosts are allocators.
func selectionDiffers(a, b Status) bool {
	return a.Leaving != b.Leaving || a.Capacity != b.Capacity
}

// startIncarnation drops what was known of the host's previous process.
func (p *Peer) startIncarnation(incarnation uint64) {
	p.Incarnation, p.sequence, p.statusSequence = incarnation, 0, 0
	p.Presence, p.endedAt = Unheard, time.Time{}
	p.Status, p.Levels = Status{}, Levels{}
}
