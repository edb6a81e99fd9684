package wharfdaemon_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

var twoZones = clusterOptions{
	zones: []string{"a", "b"}, daemons: 2, engines: 1, slots: 32, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
}

func TestEndpointsNeverSeeKeys(t *testing.T) {
	c := newCluster(t, twoZones)
	key := keyOf("alpha")
	n := c.nodes[0]
	assert.Equal(t, n.chat(key, "hello", 2, false).status, http.StatusOK)
	assert.Equal(t, n.chat(key, "hello", 2, true).status, http.StatusOK)
	header := http.Header{"X-Api-Key": {key}, "Cookie": {"key=" + key}, "Proxy-Authorization": {key}}
	assert.Equal(t, n.send(http.MethodPost, "/services/ledger/entries", key, header, "entry").status, http.StatusOK)
	assert.Equal(t, n.send(http.MethodPost, "/services/ledger/open/x", key, header, "entry").status, http.StatusOK)
	for _, r := range []reply{
		n.chat(key, "my key is "+key, 2, false),
		n.send(http.MethodPost, "/services/ledger/entries?key="+key, key, nil, "entry"),
		n.upload(key, itemLines("job "+key, 2, 2), ""),
	} {
		assert.Equal(t, r.code, "key-in-request")
		assert.Equal(t, r.runState, "not-run")
	}
	for _, e := range c.engines {
		assert.Equal(t, e.CountRequestsContaining(key), 0)
	}
}

func TestRequestsNeedValidKey(t *testing.T) {
	c := newCluster(t, twoZones)
	tests := []struct {
		name, key, code string
	}{
		{"no key", "", "no-key"},
		{"unknown key", "no-such-key", "bad-key"},
		{"hash instead of key", wharfconfig.Hash([]byte(keyOf("alpha"))), "bad-key"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := c.nodes[0].chat(test.key, "hello", 2, false)
			assert.Equal(t, r.status, http.StatusUnauthorized)
			assert.Equal(t, r.code, test.code)
			assert.Equal(t, r.runState, "not-run")
		})
	}
}

func TestObjectsOfOtherOrganisationsAreNotFound(t *testing.T) {
	c := newCluster(t, twoZones)
	file := c.nodes[0].upload(keyOf("alpha"), itemLines("job", 2, 2), "")
	job := c.nodes[0].submit(keyOf("alpha"), file.id(), "key")
	for _, path := range []string{"/v1/files/%s", "/v1/files/%s/content", "/v1/batches/%s", "/v1/files/file-output-%s/content"} {
		id := job.id()
		if strings.HasPrefix(path, "/v1/files/%s") {
			id = file.id()
		}
		other := c.nodes[1].send(http.MethodGet, fmt.Sprintf(path, id), keyOf("beta"), nil, "")
		absent := c.nodes[1].send(http.MethodGet, fmt.Sprintf(path, "nothing"), keyOf("beta"), nil, "")
		assert.Equal(t, other.status, http.StatusNotFound)
		assert.Equal(t, other.body, absent.body)
	}
}

func TestWithdrawnKeyIsRejectedAndItsStreamsEnd(t *testing.T) {
	s := twoZones
	s.tokenTime = 50 * time.Millisecond
	c := newCluster(t, s)
	var streams sync.WaitGroup
	ended := make([]time.Time, len(c.nodes))
	for i, n := range c.nodes {
		streams.Go(func() {
			r := n.chat(keyOf("alpha"), "long", 400, true)
			assert.Check(t, !strings.Contains(r.body, "[DONE]"))
			assert.Check(t, strings.Contains(r.body, "key-withdrawn"))
			ended[i] = time.Now()
		})
	}
	c.eventually(5*time.Second, func() bool { return c.engineRunning() == len(c.nodes) })
	withdrawn := strings.Replace(c.bundle, keyTable("alpha-1", "alpha", keyOf("alpha")), "", 1)
	start := time.Now()
	c.apply(1, withdrawn)
	for _, n := range c.nodes {
		r := n.chat(keyOf("alpha"), "hello", 2, false)
		assert.Equal(t, r.code, "bad-key", "an accepted bundle must be in force on every host")
	}
	streams.Wait()
	for _, end := range ended {
		assert.Assert(t, end.Sub(start) < 4*time.Second)
	}
	c.eventually(2*time.Second, func() bool { return c.engineRunning() == 0 })
	assert.Equal(t, c.nodes[0].chat(keyOf("beta"), "hello", 2, false).status, http.StatusOK)
}

func TestConcurrentAppliesAcceptOne(t *testing.T) {
	c := newCluster(t, twoZones)
	var wins, conflicts int
	var mu sync.Mutex
	var operators sync.WaitGroup
	for i, n := range c.nodes {
		operators.Go(func() {
			text := c.bundle + keyTable(fmt.Sprintf("extra-%d", i), "beta", fmt.Sprintf("extra-%d", i))
			status, result := c.applyAt(n, 1, text)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				wins++
				assert.Check(t, result.InForce)
			case http.StatusConflict:
				conflicts++
			}
		})
	}
	operators.Wait()
	assert.Equal(t, wins, 1)
	assert.Equal(t, conflicts, len(c.nodes)-1)
}

func TestInvalidOrUnsignedBundleIsRejected(t *testing.T) {
	c := newCluster(t, twoZones)
	unsigned := wharfoperator.ApplyRequest{Parent: 1, Signed: wharfrollout.Signed{Text: []byte(c.bundle + "\n")}}
	status, _ := c.nodes[0].callOperator(http.MethodPost, "/v1/config", unsigned, nil)
	assert.Equal(t, status, http.StatusForbidden)
	forged := c.sign(c.bundle)
	forged.Text = []byte(c.bundle + keyTable("forged", "alpha", "forged"))
	status, _ = c.nodes[0].callOperator(
		http.MethodPost, "/v1/config", wharfoperator.ApplyRequest{Parent: 1, Signed: forged}, nil)
	assert.Equal(t, status, http.StatusForbidden)
	status, _ = c.applyAt(c.nodes[0], 1, c.bundle+"[[key]]\nid = \"x\"\norganisation = \"nobody\"\nsha256 = \"\"\n")
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	for _, n := range c.nodes {
		var current wharfoperator.ExportedConfiguration
		n.callOperator(http.MethodGet, "/v1/config", nil, &current)
		assert.Equal(t, current.Version, uint64(1))
	}
}

func TestConfigurationIsNotAcceptedWhileAHostIsCutOff(t *testing.T) {
	c := newCluster(t, threeHosts)
	c.platform.SetFaults(wharfplatform.Faults{PartitionedZones: []string{"b"}})
	c.setPartition(betweenZones)
	text := c.bundle + keyTable("extra", "beta", "extra")
	status, result := c.applyAt(c.nodes[0], 1, text)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !result.InForce)
	assert.Equal(t, len(result.Unconfirmed), 3)
	assert.Equal(t, c.nodes[1].chat("extra", "hello", 2, false).status, http.StatusOK,
		"the bundle must be in force on hosts that received it")
	c.platform.SetFaults(wharfplatform.Faults{})
	c.setPartition(nil)
	healed := time.Now()
	for _, n := range c.nodes {
		c.eventually(4*time.Second, func() bool { return n.chat("extra", "hello", 2, false).status == http.StatusOK })
	}
	assert.Assert(t, time.Since(healed) < 4*time.Second)
}

func TestRejoiningHostRejectsWithdrawnKey(t *testing.T) {
	c := newCluster(t, threeHosts)
	isolated := c.nodes[0]
	var storeDown atomic.Bool
	proxyURL := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if storeDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.platform.ServeHTTP(w, r)
	}))
	isolated.kill()
	settings := isolated.settings
	settings.Platform = proxyURL
	isolated = c.run(settings)
	c.nodes[0] = isolated
	c.awaitReady()
	storeDown.Store(true)
	c.setPartition(func(from, to string) bool { return from == settings.Host || to == settings.Host })
	c.eventually(10*leaseTerm, func() bool { return len(c.members("a")) == 2 })
	withdrawn := strings.Replace(c.bundle, keyTable("alpha-1", "alpha", keyOf("alpha")), "", 1)
	status, result := c.applyAt(c.nodes[1], 1, withdrawn)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, result.InForce, "apply must not wait for a reclaimed host")
	c.setPartition(nil)
	storeDown.Store(false)
	c.eventually(10*leaseTerm, func() bool {
		r := isolated.chat(keyOf("alpha"), "hello", 1, false)
		assert.Assert(t, r.status != http.StatusOK, "a rejoining host served a withdrawn key")
		return r.code == "bad-key"
	})
}

func TestConfigurationVersionsAreMonotonic(t *testing.T) {
	c := newCluster(t, twoZones)
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, n := range c.nodes[1:] {
		watchers.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				var current wharfoperator.ExportedConfiguration
				n.callOperator(http.MethodGet, "/v1/config", nil, &current)
				assert.Check(t, current.Version >= last)
				last = current.Version
			}
		})
	}
	for version := range uint64(8) {
		c.apply(version+1, c.bundle+keyTable(fmt.Sprint("extra-", version), "beta", fmt.Sprint("extra-", version)))
	}
	c.nodes[0].kill()
	c.nodes[0] = c.run(c.nodes[0].settings)
	c.awaitReady()
	var current wharfoperator.ExportedConfiguration
	c.nodes[0].callOperator(http.MethodGet, "/v1/config", nil, &current)
	assert.Equal(t, current.Version, uint64(9), "a restarted host must have the last accepted version when ready")
	close(stop)
	watchers.Wait()
}

func TestExportedBundleImportsUnchanged(t *testing.T) {
	from := newCluster(t, twoZones)
	from.apply(1, from.bundle+keyTable("extra", "beta", "extra"))
	var exported wharfoperator.ExportedConfiguration
	from.nodes[3].callOperator(http.MethodGet, "/v1/config", nil, &exported)
	to := newCluster(t, twoZones)
	status, result := to.applyAt(to.nodes[0], 1, string(exported.Text))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, result.Hash, exported.Hash)
	var imported wharfoperator.ExportedConfiguration
	to.nodes[2].callOperator(http.MethodGet, "/v1/config", nil, &imported)
	assert.Equal(t, imported.Hash, exported.Hash)
}

func TestPeerAndOperatorPortsRequireTokens(t *testing.T) {
	c := newCluster(t, twoZones)
	response, err := http.Get(c.nodes[0].operator + "/v1/hosts")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	conn := dial(t, c.nodes[0].settings.Peers.String())
	_, err = fmt.Fprintf(conn, "wharf-peer/1 wrong-token\n")
	assert.NilError(t, err)
	_, err = bufio.NewReader(conn).ReadByte()
	assert.Assert(t, err != nil, "the connection must be closed without a reply")
}
