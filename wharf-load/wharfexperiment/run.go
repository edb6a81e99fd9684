package wharfexperiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailwharf.example/wharf-load/wharfcaller"
	"wagtailwharf.example/wharf-load/wharfstack"
	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	callTimeout       = 30 * time.Second
	maxConns          = 4096
	poisonInterval    = 300 * time.Millisecond
	readinessInterval = 250 * time.Millisecond
)

// runner is the state of a running experiment.
type runner struct {
	experiment   *Experiment
	stack        *wharfstack.Stack
	client       *http.Client
	result       *Result
	ready        atomic.Pointer[[]*wharfstack.Process]
	onlineTokens atomic.Int64 // tokens received by online requests in the measured part
}

// Run starts the deployment from the binaries in the directory bin, applies the load and faults, and returns the
// results.
func Run(ctx context.Context, e *Experiment, bin string) (*Result, error) {
	dir, err := os.MkdirTemp("", "wharf-measure-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	stack, err := wharfstack.Start(ctx, e.stackOptions(bin, dir))
	if err != nil {
		return nil, err
	}
	defer stack.Stop()
	r := &runner{
		experiment: e,
		stack:      stack,
		client:     &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}},
		result:     newResult(e),
	}
	r.ready.Store(&stack.Daemons)
	return r.result, r.applyLoad(ctx)
}

func (r *runner) applyLoad(ctx context.Context) error {
	e := r.experiment
	if err := r.submitBatch(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.Length))
	defer cancel()
	r.result.startedAt = time.Now()
	var work sync.WaitGroup
	work.Go(func() { r.refreshReadyHosts(ctx) })
	for i := range e.Online {
		work.Go(func() { r.sendRequests(ctx, &e.Online[i], uint64(i)) })
	}
	for i := range e.Faults {
		work.Go(func() { r.injectFault(ctx, &e.Faults[i]) })
	}
	wharfpause.For(ctx, time.Duration(e.WarmUp))
	before := r.readCounters()
	<-ctx.Done()
	after := r.readCounters()
	work.Wait()
	r.summarize(before, after)
	return nil
}

// refreshReadyHosts keeps the list of ready hosts up to date, as the platform's load balancer does.
func (r *runner) refreshReadyHosts(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*wharfstack.Process
		for _, d := range r.stack.Daemons {
			if wharfstack.Ready(d) {
				ready = append(ready, d)
			}
		}
		if len(ready) > 0 {
			r.ready.Store(&ready)
		}
		wharfpause.For(ctx, readinessInterval)
	}
}

func (r *runner) caller(organisation string, host *wharfstack.Process) *wharfcaller.Caller {
	return &wharfcaller.Caller{BaseURL: host.URL, Key: r.stack.Keys[organisation], Client: r.client}
}

func (r *runner) submitBatch(ctx context.Context) error {
	b := r.experiment.Batch
	if b.Items == 0 {
		return nil
	}
	c := r.caller(b.Organisation, r.stack.Daemons[0])
	file, err := c.UploadFile(ctx, wharfcaller.BatchInput(r.experiment.Deployment.Service, "case", b.Items, b.Tokens))
	if err != nil {
		return err
	}
	_, err = c.CreateBatch(ctx, file, "measure")
	return err
}

// sendRequests sends one organisation's requests as a Poisson process, without waiting for earlier responses. The
// stream number makes the generators of several loads independent.
func (r *runner) sendRequests(ctx context.Context, o *OnlineLoad, stream uint64) {
	rng := rand.New(rand.NewPCG(r.experiment.Seed, stream))
	start := r.result.startedAt
	wharfpause.For(ctx, time.Duration(o.StartAt))
	bucket := &tokenBucket{rate: o.Rate, burst: o.Burst, tokens: o.Burst, updatedAt: time.Now()}
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / o.SendRate * float64(time.Second)))
		wharfpause.For(ctx, time.Until(next))
		now := time.Since(start)
		if ctx.Err() != nil || (o.StopAt > 0 && now > time.Duration(o.StopAt)) {
			return
		}
		withinLimit := bucket.take(time.Now())
		host := r.pickHost(rng, o)
		measured := now > time.Duration(r.experiment.WarmUp) && now < time.Duration(r.experiment.Length-r.cooldown())
		prompt := fmt.Sprintf("%s question %d", o.Organisation, i)
		calls.Go(func() { r.sendRequest(o, host, prompt, withinLimit, measured) })
	}
}

// cooldown returns the length of the last part of an experiment, whose requests are not counted since they may not
// complete.
func (r *runner) cooldown() Duration {
	return Duration(time.Second)
}

// pickHost returns a random ready host, of the first zone if o.OneZone is set and that zone has any.
func (r *runner) pickHost(random *rand.Rand, o *OnlineLoad) *wharfstack.Process {
	hosts := *r.ready.Load()
	if o.OneZone {
		var near []*wharfstack.Process
		for _, h := range hosts {
			if h.Zone == r.stack.Options.Zones[0] {
				near = append(near, h)
			}
		}
		if len(near) > 0 {
			hosts = near
		}
	}
	return hosts[random.IntN(len(hosts))]
}

func (r *runner) sendRequest(o *OnlineLoad, host *wharfstack.Process, prompt string, withinLimit, measured bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	timing, err := r.caller(o.Organisation, host).Chat(ctx, r.experiment.Deployment.Service, prompt, o.Tokens, true)
	if !measured {
		return
	}
	r.result.mu.Lock()
	defer r.result.mu.Unlock()
	counts := r.result.requestCounts(o.Organisation)
	counts.Sent++
	if withinLimit {
		counts.WithinLimit++
	}
	if err == nil {
		counts.Answered++
		r.onlineTokens.Add(int64(o.Tokens))
		record(r.result.firstTokenHist, timing.FirstToken)
		for _, gap := range timing.TokenGaps {
			record(r.result.tokenGapHist, gap)
		}
		return
	}
	counts.Codes[errorCode(err)]++
	if withinLimit {
		counts.WrongfullyFailed++
		r.result.LastWrongfulRefusal = time.Since(r.result.startedAt).Seconds()
	}
}

func (r *Result) requestCounts(organisation string) *RequestCounts {
	counts := r.Organisations[organisation]
	if counts == nil {
		counts = &RequestCounts{Codes: map[string]int{}}
		r.Organisations[organisation] = counts
	}
	return counts
}

// errorCode returns the code of a refusal, or "wrong-answer" or "broken" for other errors.
func errorCode(err error) string {
	var refusal *wharfcaller.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal.Code
	case errors.Is(err, wharfcaller.ErrWrongAnswer):
		return "wrong-answer"
	}
	return "broken"
}

// injectFault injects a fault at its start time and reverts it at its end time, if it has one.
func (r *runner) injectFault(ctx context.Context, f *Fault) {
	wharfpause.For(ctx, time.Duration(f.StartAt))
	if ctx.Err() != nil {
		return
	}
	last := r.stack.Daemons[len(r.stack.Daemons)-1]
	switch f.Kind {
	case KillDaemon:
		last.Kill()
		r.revertAtEnd(ctx, f, func() { _ = last.Start() })
	case KillEngine:
		engine := r.stack.Engines[0]
		engine.Kill()
		r.revertAtEnd(ctx, f, func() { _ = engine.Start() })
	case FreezeDaemon:
		_ = last.Signal(syscall.SIGSTOP)
		r.revertAtEnd(ctx, f, func() { _ = last.Signal(syscall.SIGCONT) })
	case PlatformDown:
		r.setFaults(wharfplatform.Faults{Down: true})
		r.revertAtEnd(ctx, f, func() { r.setFaults(wharfplatform.Faults{}) })
	case PlatformCut:
		r.setFaults(wharfplatform.Faults{PartitionedZones: r.stack.Options.Zones[:1]})
		r.revertAtEnd(ctx, f, func() { r.setFaults(wharfplatform.Faults{}) })
	case Poison:
		r.sendPoison(ctx, f)
	}
}

// revertAtEnd calls revert at the fault's end time, or never if the fault is permanent.
func (r *runner) revertAtEnd(ctx context.Context, f *Fault, revert func()) {
	if f.EndAt == 0 {
		return
	}
	wharfpause.For(ctx, time.Duration(f.EndAt-f.StartAt))
	revert()
}

func (r *runner) setFaults(faults wharfplatform.Faults) {
	data, _ := json.Marshal(faults)
	request, err := http.NewRequest(http.MethodPut, r.stack.Platform.URL+"/faults", bytes.NewReader(data))
	if err != nil {
		return
	}
	if response, err := r.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// sendPoison repeatedly sends a request that crashes engines, through each host in turn, until the fault's end.
func (r *runner) sendPoison(ctx context.Context, f *Fault) {
	organisation := r.experiment.Online[0].Organisation
	for i := 0; ctx.Err() == nil && time.Since(r.result.startedAt) < time.Duration(f.EndAt); i++ {
		hosts := *r.ready.Load()
		_, _ = r.caller(organisation, hosts[i%len(hosts)]).Chat(
			ctx, r.experiment.Deployment.Service, wharfmodel.CrashPrompt, 1, true)
		wharfpause.For(ctx, poisonInterval)
	}
}

// counters holds the counters of the platform, engines and online requests at one moment.
type counters struct {
	at       time.Time
	platform wharfplatform.Counts
	batch    int64 // tokens generated for batch items
	online   int64 // tokens received by online requests
}

func (r *runner) readCounters() counters {
	c := counters{at: time.Now(), online: r.onlineTokens.Load()}
	_ = r.fetchJSON(r.stack.Platform.URL+"/counts", &c.platform)
	generated := int64(0)
	for _, e := range r.stack.Engines {
		var load wharfmodel.Load
		if r.fetchJSON(e.URL+"/load", &load) == nil {
			generated += load.Tokens[batchPrefix]
		}
	}
	c.batch = generated
	return c
}

// batchPrefix is the first word of the prompts of wharfcaller.BatchInput; engines count tokens by first word.
const batchPrefix = "summarise"

func (r *runner) fetchJSON(url string, value any) error {
	response, err := r.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value)
}

func (r *runner) summarize(before, after counters) {
	seconds := after.at.Sub(before.at).Seconds()
	r.result.Seconds = seconds
	r.result.FirstToken = quantiles(r.result.firstTokenHist)
	r.result.BetweenTokens = quantiles(r.result.tokenGapHist)
	r.result.BatchTokens = float64(after.batch-before.batch) / seconds
	r.result.OnlineTokens = float64(r.onlineTokens.Load()) / seconds
	r.result.PlatformReads = float64(after.platform.Reads-before.platform.Reads) / seconds
	r.result.RowWrites = float64(after.platform.RowWrites-before.platform.RowWrites) / seconds
	for _, e := range r.stack.Engines {
		var load wharfmodel.Load
		if r.fetchJSON(e.URL+"/load", &load) == nil {
			r.result.EngineCrashes += load.Crashes
		}
	}
}
