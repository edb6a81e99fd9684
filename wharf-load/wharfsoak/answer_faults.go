package wharfsoak

import (
	"context"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// answerFaultSeed separates the generator of answer faults from the others of a seed.
	answerFaultSeed = 0xd1b54a32d192ed03
	// maxAnswerFaults is the maximum number of answer faults in a run.
	maxAnswerFaults = 2
	// brokenShare is the share of streams that break off, oddShare that of their continuations that are something else, and
	// headCutShare that of answers that end within their head.
	brokenShare  = 0.4
	oddShare     = 0.5
	headCutShare = 0.3
)

// answerFaults maps kinds to the faults of endpoints that answer with what is no answer, or with a part of one.
var answerFaults = map[string]faultFunc{
	"answers-cut-in-head": func(ctx context.Context, s *system, e faultEvent) {
		s.withAnswerFaults(ctx, e, func(f *wharfstandin.Faults) { f.HeadCutRate = headCutShare })
	},
	"answers-odd": func(ctx context.Context, s *system, e faultEvent) {
		s.withAnswerFaults(ctx, e, func(f *wharfstandin.Faults) { f.BreakRate, f.OddRate = brokenShare, oddShare })
	},
}

// withAnswerFaults makes all endpoints misbehave for the duration of the event, beyond their usual faults.
func (s *system) withAnswerFaults(ctx context.Context, e faultEvent, misbehave func(*wharfstandin.Faults)) {
	faults := s.usualFaults()
	faults.Seed = int(s.options.Seed)
	misbehave(&faults)
	for _, ep := range s.endpoints {
		defer ep.faults.begin()()
		ep.current().SetFaults(faults)
	}
	wharfpause.For(ctx, e.duration)
	for _, ep := range s.endpoints {
		ep.current().SetFaults(s.usualFaults())
	}
}
