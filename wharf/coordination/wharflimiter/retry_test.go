package wharflimiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfroute"
)

// TestRetryAfterOfARejectedRequestIsTrue guards against delays after which an organisation's only caller is rejected again,
// and against delays much longer than one bucket for all hosts needs for a token, such as those of one share's refill.
func TestRetryAfterOfARejectedRequestIsTrue(t *testing.T) {
	for _, hosts := range []int{10, 61, 570} {
		for _, limit := range []wharfroute.Organisation{{Rate: 0.5, Burst: 2}, {Rate: 2, Burst: 4}, {Rate: 40, Burst: 40}} {
			t.Run(fmt.Sprintf("%d hosts, %.1f a second", hosts, limit.Rate), func(t *testing.T) {
				limit.Name = "org"
				synctest.Test(t, func(t *testing.T) { playReturns(t, hosts, limit) })
			})
		}
	}
}

func playReturns(t *testing.T, hosts int, limit wharfroute.Organisation) {
	m := newModel(t, hosts, limit, 150, 0)
	defer m.close()
	m.load(max(20, 5*limit.Rate), 2*time.Second)
	time.Sleep(maxPromise) // until when rejected callers were told to come back
	again, longest := 0, time.Duration(0)
	const rounds = 40
	for i := range rounds {
		h := m.hosts[m.callers[i]]
		d := m.try(h)
		for d.Admitted {
			time.Sleep(5 * time.Millisecond)
			d = m.try(h)
		}
		longest = max(longest, d.RetryAfter)
		time.Sleep(d.RetryAfter)
		if !m.try(h).Admitted {
			again++
		}
	}
	token := time.Duration(float64(time.Second) / limit.Rate)
	t.Logf("%d of %d rejected again, longest delay %v, a token of one bucket takes %v", again, rounds, longest, token)
	assert.Assert(t, again <= rounds/10, "%d of %d rejected again", again, rounds)
	assert.Assert(t, longest <= token*5/4+minRetryAfter+retryAfterJitter, "%v", longest)
}

// try sends a request to a host.
func (m *model) try(h *modelHost) Decision {
	return m.limiterOf(h).Admit(m.ctx, Admission{Organisation: m.limit.Name})
}
