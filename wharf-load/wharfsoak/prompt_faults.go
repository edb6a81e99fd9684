package wharfsoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// crashingPart is a part of prompts under which each endpoint crashes that begins to run a request with it.
	crashingPart = "c0de"
	// promptFaultSeed separates the generator of prompt faults from the others of a seed.
	promptFaultSeed = 0x9e3779b97f4a7c15
	// Requests with crashingPart come for crashingTime, one every crashingInterval.
	crashingTime     = 9 * time.Second
	crashingInterval = 100 * time.Millisecond
	// From crashLearningTime after crash number learningCrashes on, maxLateCrashers more requests with crashingPart may
	// reach endpoints, from hosts without faults.
	learningCrashes   = 5
	crashLearningTime = 3 * time.Second
	maxLateCrashers   = 3
)

// promptFaults maps kinds to the faults that requests cause.
var promptFaults = map[string]faultFunc{
	"prompt-part-crashes": func(ctx context.Context, s *system, e faultEvent) { s.sendCrashingPrompts(ctx, e) },
}

// sendCrashingPrompts sends requests that share crashingPart and a sound first part, and are not alike otherwise, to all
// hosts in turn.
func (s *system) sendCrashingPrompts(ctx context.Context, e faultEvent) {
	for _, ep := range s.endpoints {
		defer ep.faults.begin()()
	}
	caller := s.caller(unlimitedKey)
	until := time.Now().Add(crashingTime)
	var running sync.WaitGroup
	for n := 0; time.Now().Before(until) && wharfpause.For(ctx, crashingInterval); n++ {
		r := &request{id: fmt.Sprintf("crashing-%v-%d", e.at, n), host: s.hosts[(e.host+n)%len(s.hosts)]}
		running.Go(func() {
			requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout)
			defer cancel()
			r.startedAt = time.Now()
			r.response = caller.SendPrompt(requestCtx, r.host.callerAddress, "/resume/"+r.id, r.id,
				fmt.Sprintf("aaaa:100,%s:50,%x:20", crashingPart, n))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.crashing = append(s.crashing, r)
		})
	}
	running.Wait()
}

// checkCrashingPrompts checks that hosts stop sending requests with crashingPart to endpoints.
func (t *traffic) checkCrashingPrompts(runs map[string][]wharfstandin.Run) {
	var crashes []time.Time
	for _, r := range t.system.crashing {
		for _, run := range runs[r.id] {
			crashes = append(crashes, run.At)
		}
	}
	if len(crashes) < learningCrashes {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	learnedAt := crashes[learningCrashes-1].Add(crashLearningTime)
	var late []string
	for _, r := range t.system.crashing {
		for _, run := range runs[r.id] {
			if run.At.After(learnedAt) && t.system.faultFree(r.host, r.startedAt, run.At) {
				late = append(late, fmt.Sprintf("%s at %s, %v", r.id, r.host.name, run.At.Sub(learnedAt)))
			}
		}
	}
	if len(late) > maxLateCrashers {
		t.system.findings.add("%d requests with a part that crashes endpoints reached them too late, of %d: %q",
			len(late), len(crashes), late)
	}
}
