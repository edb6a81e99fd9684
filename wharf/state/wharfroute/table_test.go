package wharfroute

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestFindReturnsLongestPrefixOfHost(t *testing.T) {
	table := New(Configuration{Routes: []Route{
		{Name: "all", Host: "a", PathPrefix: "/"},
		{Name: "chat", Host: "a", PathPrefix: "/chat/"},
		{Name: "deep", Host: "a", PathPrefix: "/chat/deep/"},
		{Name: "again", Host: "a", PathPrefix: "/chat/"},
		{Name: "other", Host: "b", PathPrefix: "/chat/"},
	}})
	for _, c := range []struct{ host, path, name string }{
		{"a", "/", "all"},
		{"a", "/chat", "all"},
		{"a", "/chat/", "chat"},
		{"a", "/chat/1", "chat"},
		{"a", "/chat/deep", "chat"},
		{"a", "/chat/deep/er/1", "deep"},
		{"a", "/chatter/1", "all"},
		{"b", "/chat/1", "other"},
		{"b", "/", ""},
		{"c", "/chat/1", ""},
		{"a", "", ""},
	} {
		found := table.Find(c.host, c.path)
		if c.name == "" {
			assert.Assert(t, found == nil, "%s%s", c.host, c.path)
			continue
		}
		assert.Assert(t, found != nil, "%s%s", c.host, c.path)
		assert.Equal(t, found.Name, c.name, "%s%s", c.host, c.path)
	}
	assert.Equal(t, table.RouteByName("deep").PathPrefix, "/chat/deep/")
	assert.Assert(t, table.RouteByName("none") == nil)
}

func TestBatchRouteOfReplacedRoute(t *testing.T) {
	table := New(Configuration{Routes: []Route{
		{Name: "kept", Host: "a", PathPrefix: "/kept/", Kind: Batch},
		{Name: "successor", Host: "a", PathPrefix: "/jobs/", Kind: Batch},
		{Name: "now-online", Host: "a", PathPrefix: "/online/", Kind: Streaming},
	}})
	for _, c := range []struct{ name, host, prefix, route string }{
		{"kept", "a", "/kept/", "kept"},
		{"kept", "a", "/moved/", "kept"},
		{"gone", "a", "/jobs/", "successor"},
		{"gone", "a", "/jobs/split/", "successor"},
		{"gone", "b", "/jobs/", ""},
		{"gone", "a", "/other/", ""},
		{"gone", "a", "/online/", ""},
		{"gone", "a", "", ""},
		{"now-online", "a", "/online/", ""},
		{"now-online", "a", "/jobs/", "successor"},
	} {
		name := ""
		if r := table.BatchRoute(c.name, c.host, c.prefix); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, c.route, "%s of %s%s", c.name, c.host, c.prefix)
	}
}

func TestKeyOwner(t *testing.T) {
	table := New(Configuration{Organisations: []Organisation{{Name: "o"}}, Keys: map[string]string{"k": "o", "orphan": "gone"}})
	assert.Equal(t, table.KeyOwner("k").Name, "o")
	assert.Assert(t, table.KeyOwner("orphan") == nil)
	assert.Assert(t, table.KeyOwner("unknown") == nil)
	assert.Assert(t, table.RequiresKey())
	assert.Assert(t, !New(Configuration{}).RequiresKey())
}

// TestFindMatchesLinearSearch compares the index with a linear search over up to 40 random routes.
func TestFindMatchesLinearSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{1,2}){0,4}/`)
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i, prefix := range rapid.SliceOfN(path, 0, 40).Draw(t, "prefixes") {
			routes = append(routes, Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: prefix})
		}
		requested := path.Draw(t, "path") + rapid.StringMatching(`[ab]{0,2}`).Draw(t, "rest")
		var longest *Route
		for i := range routes {
			if strings.HasPrefix(requested, routes[i].PathPrefix) && (longest == nil || len(routes[i].PathPrefix) > len(longest.PathPrefix)) {
				longest = &routes[i]
			}
		}
		found := New(Configuration{Routes: routes}).Find("h", requested)
		assert.Equal(t, found == nil, longest == nil)
		if found != nil {
			assert.Equal(t, found.Name, longest.Name)
		}
	})
}
