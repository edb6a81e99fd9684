package wharfdaemon_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wagtailwharfd/wharfdaemon"
	"wagtailwharf.example/wharf-standin/wharfhttpservice"
	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/protocol/wharfpeer"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

const (
	leaseTerm     = time.Second
	leaseMargin   = 100 * time.Millisecond
	operatorToken = "operator-token"
	readyTimeout  = 15 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// cluster is a deployment of daemons with simulated platform, engines and services, all in the test process.
type cluster struct {
	t            testing.TB
	platform     *wharfplatform.Platform
	platformURL  string
	nodes        []*node
	engines      []*engine
	service      *wharfhttpservice.Service
	bundle       string
	signer       ed25519.PrivateKey
	editSettings func(*wharfsettings.Settings)
	partition    atomic.Pointer[func(from, to string) bool]
	hostByPeer   sync.Map // peer address (netip.AddrPort) to host name
}

// engine is a simulated model engine and its address.
type engine struct {
	*wharfmodel.Engine
	name string
	zone string
	url  string
}

// node is a running daemon; done is closed when its Run returns.
type node struct {
	cluster  *cluster
	daemon   *wharfdaemon.Daemon
	settings wharfsettings.Settings
	url      string
	operator string
	cancel   context.CancelFunc
	done     chan struct{}
}

// clusterOptions configures a cluster.
type clusterOptions struct {
	zones        []string
	daemons      int // in each zone
	engines      int // in each zone
	slots        int
	tokenTime    time.Duration
	rate         float64
	burst        float64
	checkFences  bool                          // engines reject orders with an old fencing token
	editSettings func(*wharfsettings.Settings) // changes the default settings of each daemon, if not nil
}

// newCluster starts a cluster, applies the first bundle and waits until all daemons are ready.
func newCluster(t testing.TB, options clusterOptions) *cluster {
	t.Helper()
	_, signer, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	c := &cluster{t: t, platform: wharfplatform.New(), signer: signer, editSettings: options.editSettings}
	c.platformURL = serve(t, c.platform)
	for _, zone := range options.zones {
		for i := range options.engines {
			e := wharfmodel.New(wharfmodel.Options{
				TokenTime: options.tokenTime, Slots: max(options.slots, 1), CacheEntries: 1024, RestartTime: 300 * time.Millisecond,
				CheckFences: options.checkFences,
			})
			c.engines = append(c.engines, &engine{
				Engine: e, name: fmt.Sprintf("engine-%s-%d", zone, i), zone: zone, url: serve(t, e),
			})
		}
	}
	c.service = wharfhttpservice.New()
	c.bundle = c.firstBundle(options, serve(t, c.service), serve(t, c.service))
	for _, zone := range options.zones {
		for i := range options.daemons {
			c.nodes = append(c.nodes, c.start(fmt.Sprintf("%s-%d", zone, i), zone))
		}
	}
	t.Cleanup(c.stop)
	c.apply(0, c.bundle)
	c.awaitReady()
	return c
}

// serve starts an HTTP server for handler and returns its URL.
func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// firstBundle returns the text of the configuration bundle with which a cluster starts.
func (c *cluster) firstBundle(options clusterOptions, services ...string) string {
	var text strings.Builder
	for _, zone := range options.zones {
		fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = \"r\"\n\n", zone)
	}
	for _, name := range []string{"alpha", "beta"} {
		fmt.Fprintf(&text, "[[organisation]]\nname = %q\nrate = %v\nburst = %v\n\n", name, options.rate, options.burst)
		text.WriteString(keyTable(name+"-1", name, keyOf(name)))
	}
	text.WriteString("[[service]]\nname = \"model\"\nkind = \"model\"\nmodel-version = \"1\"\n\n")
	text.WriteString("[[service]]\nname = \"ledger\"\nkind = \"plain\"\n")
	text.WriteString("[[service.route]]\npath = \"/open\"\nopen = true\nrepeatable = true\n")
	text.WriteString("[[service.route]]\npath = \"/read\"\nrepeatable = true\n")
	text.WriteString("[[service.route]]\npath = \"/entries\"\n\n")
	for _, e := range c.engines {
		fmt.Fprintf(&text, endpointTable, e.name, "model", e.zone, e.url, max(options.slots, 1))
	}
	for i, service := range services {
		fmt.Fprintf(&text, endpointTable, fmt.Sprintf("ledger-%d", i), "ledger", options.zones[0], service, 16)
	}
	return text.String()
}

const endpointTable = "[[endpoint]]\nname = %q\nservice = %q\navailability-zone = %q\nurl = %q\nslots = %d\n\n"

// keyOf returns the API key of an organisation.
func keyOf(organisation string) string {
	return "secret-key-of-" + organisation
}

func keyTable(id, organisation, key string) string {
	return fmt.Sprintf("[[key]]\nid = %q\norganisation = %q\nsha256 = %q\n\n", id, organisation, wharfconfig.Hash([]byte(key)))
}

// assignedAddresses counts the loopback addresses assigned to daemons. Each daemon has its own address, so that no
// other process's connection takes one of its ports between the port's selection and the daemon's start.
var assignedAddresses atomic.Uint32

// freePorts assigns free ports on a new loopback address.
func freePorts(t testing.TB, ports ...*netip.AddrPort) {
	t.Helper()
	const hostsPerSubnet = 250
	number := assignedAddresses.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 77, byte(number / hostsPerSubnet), byte(number%hostsPerSubnet) + 1})
	for _, port := range ports {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		*port = netip.MustParseAddrPort(listener.Addr().String())
	}
}

// start starts a new daemon with default settings.
func (c *cluster) start(host, zone string) *node {
	c.t.Helper()
	s := wharfsettings.Default()
	s.Host = host
	s.Zone = zone
	s.Platform = c.platformURL
	freePorts(c.t, &s.Callers, &s.Peers, &s.Operators)
	s.Lease.Term = wharfsettings.Duration(leaseTerm)
	s.Lease.Margin = wharfsettings.Duration(leaseMargin)
	s.Drain.Grace = wharfsettings.Duration(100 * time.Millisecond)
	s.Signing.Needed = 1
	s.Signing.Signers = map[string]string{"signer": base64.StdEncoding.EncodeToString(c.signer.Public().(ed25519.PublicKey))}
	if c.editSettings != nil {
		c.editSettings(&s)
	}
	return c.run(s)
}

// run starts a daemon with the given settings, for the first time or after a stop.
func (c *cluster) run(s wharfsettings.Settings) *node {
	c.t.Helper()
	c.hostByPeer.Store(s.Peers, s.Host)
	daemon, err := wharfdaemon.New(s, wharfdaemon.Tokens{Peer: "peer-token", Operator: operatorToken}, func(next wharfpeer.Caller) wharfpeer.Caller {
		return &partitionCaller{cluster: c, host: s.Host, next: next}
	})
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		cluster:  c,
		daemon:   daemon,
		settings: s,
		url:      "http://" + s.Callers.String(),
		operator: "http://" + s.Operators.String(),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(n.done)
		if err := daemon.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("%s: Run returned an error: %v", s.Host, err)
		}
	}()
	return n
}

// kill stops the daemon without a graceful shutdown and aborts its requests in flight.
func (n *node) kill() {
	n.cancel()
	<-n.done
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

// awaitReady waits until all daemons are ready.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.eventually(readyTimeout, func() bool { return n.daemon.Ready() == nil })
	}
}

// eventually polls until holds returns true and fails the test after limit.
func (c *cluster) eventually(limit time.Duration, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %v", limit)
		}
		time.Sleep(pollInterval)
	}
}

// partitionCaller blocks calls between hosts that the test has partitioned until their context is done.
type partitionCaller struct {
	cluster *cluster
	host    string
	next    wharfpeer.Caller
}

func (p *partitionCaller) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	if cut := p.cluster.partition.Load(); cut != nil {
		if host, ok := p.cluster.hostByPeer.Load(to); ok && (*cut)(p.host, host.(string)) {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return p.next.Call(ctx, to, method, args, reply)
}

// setPartition blocks the calls for which cut returns true; nil ends the partition.
func (c *cluster) setPartition(cut func(from, to string) bool) {
	if cut == nil {
		c.partition.Store(nil)
		return
	}
	c.partition.Store(&cut)
}

func zoneOf(host string) string {
	return host[:strings.LastIndex(host, "-")]
}

func betweenZones(from, to string) bool {
	return zoneOf(from) != zoneOf(to)
}

// callOperator sends a request to the operator interface, decodes a 200 response into result, and returns the status
// and the response body.
func (n *node) callOperator(method, path string, body, result any) (int, string) {
	n.cluster.t.Helper()
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		assert.NilError(n.cluster.t, err)
	}
	request, err := http.NewRequest(method, n.operator+path, bytes.NewReader(data))
	assert.NilError(n.cluster.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	payload, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK && result != nil {
		assert.NilError(n.cluster.t, json.Unmarshal(payload, result))
	}
	return response.StatusCode, string(payload)
}

// sign returns a bundle signed by the cluster's signer.
func (c *cluster) sign(text string) wharfrollout.Signed {
	return wharfrollout.Signed{Text: []byte(text), Signatures: []wharfrollout.Signature{{
		Signer: "signer", Bytes: ed25519.Sign(c.signer, []byte(text)),
	}}}
}

// applyAt applies a bundle through host n and returns the status and the result.
func (c *cluster) applyAt(n *node, parent uint64, text string) (int, wharfrollout.Result) {
	c.t.Helper()
	var result wharfrollout.Result
	status, _ := n.callOperator(http.MethodPost, "/v1/config", wharfoperator.ApplyRequest{
		Parent: parent, Operator: "test", Signed: c.sign(text),
	}, &result)
	return status, result
}

// apply applies a bundle, retrying until it is accepted, and checks that it is in force on all hosts.
func (c *cluster) apply(parent uint64, text string) {
	c.t.Helper()
	var result wharfrollout.Result
	c.eventually(readyTimeout, func() bool {
		status := 0
		status, result = c.applyAt(c.nodes[0], parent, text)
		return status == http.StatusOK
	})
	assert.Assert(c.t, result.InForce, "unconfirmed: %v", result.Unconfirmed)
	c.bundle = text
}

// reply is the response to a caller's request, or the error.
type reply struct {
	status     int
	code       string // of a refusal
	runState   string // Wharf-Run-State
	retryAfter string // Retry-After
	body       string
	err        error
}

// send sends a request with an API key, if key is not empty.
func (n *node) send(method, path, key string, header http.Header, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return n.sendContext(ctx, method, path, key, header, body)
}

// sendContext is send with a context.
func (n *node) sendContext(ctx context.Context, method, path, key string, header http.Header, body string) reply {
	request, err := http.NewRequestWithContext(ctx, method, n.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r := reply{
		status:     response.StatusCode,
		runState:   response.Header.Get("Wharf-Run-State"),
		retryAfter: response.Header.Get("Retry-After"),
		body:       string(data),
		err:        err,
	}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &refusal) == nil {
		r.code = refusal.Error.Code
	}
	return r
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"model","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

func (n *node) chat(key, prompt string, tokens int, stream bool) reply {
	return n.send(http.MethodPost, "/v1/chat/completions", key, nil, chatBody(prompt, tokens, stream))
}
