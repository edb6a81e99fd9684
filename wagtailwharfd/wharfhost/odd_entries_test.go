package wharfhost

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// oddEntries are rows that another program left among the registrations of endpoints.
func oddEntries() map[string]string {
	entry := func(fields string) string {
		return `{"service":"assistant","address":"127.0.0.1:9","zone":"zone","version":"v1","slots":4,"state":"ready",` + fields + `}`
	}
	nested := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	return map[string]string{
		"no-json": "\xff\xfe", "null": "null", "list": "[]", "empty": "", "nested": nested, "nested-field": entry(`"born":` + nested),
		"slots-most": entry(`"slots":9223372036854775807`), "slots-many": entry(`"slots":1000000000`),
		"slots-too-large": entry(`"slots":1e400`), "slots-negative": entry(`"slots":-4`), "slots-text": entry(`"slots":"4"`),
		"port-too-large": entry(`"address":"127.0.0.1:70000"`), "port-zero": entry(`"address":"127.0.0.1:0"`),
		"unspecified": entry(`"address":"0.0.0.0:9"`), "multicast": entry(`"address":"224.0.0.1:9"`),
		"zone-address": entry(`"address":"[fe80::1%eth0]:9"`), "born-overflow": entry(`"born":9223372036854775807`),
		"born-negative": entry(`"born":-1`), "born-fraction": entry(`"born":1.5`), "version-number": entry(`"version":1`),
		"version-empty": entry(`"version":""`), "long-zone": entry(`"zone":"` + strings.Repeat("z", 60000) + `"`),
		"long-version": entry(`"version":"` + strings.Repeat("v", 60000) + `"`), "odd state": entry(`"state":"asleep"`),
		"odd\r\nkey": entry(`"sequence":1`), "": entry(`"sequence":1`),
	}
}

func TestOddEntriesNameNoEndpoint(t *testing.T) {
	c := newCluster(t, 2, 2)
	for n := range 10 {
		for key, value := range oddEntries() {
			if n > 0 && key != "" {
				key = fmt.Sprint(key, n)
			}
			assert.NilError(t, c.store.PutRawEndpoint(key, []byte(value)))
		}
	}
	c.addEndpoint("after")
	c.await("the hosts follow the list and use what it names", func() bool {
		return min(len(c.hosts[0].directory.View().Endpoints), len(c.hosts[1].directory.View().Endpoints)) >= 3
	})
	time.Sleep(time.Second)
	for _, h := range c.hosts {
		for _, e := range h.directory.View().Endpoints {
			assert.Check(t, e.Address.Port() > 9 && e.Slots == 4, "host uses %.40q at %v with %d slots", e.ID, e.Address, e.Slots)
		}
	}
	for i := range 20 {
		id := fmt.Sprint("r", i)
		c.assertComplete(c.send(c.hosts[i%2], keyA, http.MethodPost, "/resume/x", id, ""), id)
	}
	ctx, caller := t.Context(), wharfstandin.NewCaller(callerHost, keyA)
	assert.Equal(t, caller.SubmitJob(ctx, c.hosts[0].address(), "job", []wharfstandin.Item{{ID: "i", Body: "b"}}).Status, http.StatusAccepted)
	c.await("the item is done", func() bool {
		page, _ := caller.ReadResults(ctx, c.hosts[1].address(), "job", 0, time.Second)
		return len(page.Results) == 1
	})
	assert.NilError(t, c.store.PutRawEndpoint(c.endpoints[0].ID, []byte("[")))
	c.await("an endpoint whose entry turned odd is left alone", func() bool { return len(c.hosts[0].directory.View().Endpoints) == 2 })
	assert.NilError(t, c.endpoints[0].Register("ready"))
	c.await("it is used again", func() bool { return len(c.hosts[0].directory.View().Endpoints) == 3 })
}
