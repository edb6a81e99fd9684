package wharfroute

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLongestPrefixOfTheHostIsFound(t *testing.T) {
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

func TestKeysNameTheirOrganisation(t *testing.T) {
	table := New(Configuration{Organisations: []Organisation{{Name: "o"}}, Keys: map[string]string{"k": "o", "orphan": "gone"}})
	assert.Equal(t, table.KeyOwner("k").Name, "o")
	assert.Assert(t, table.KeyOwner("orphan") == nil)
	assert.Assert(t, table.KeyOwner("unknown") == nil)
	assert.Assert(t, table.RequiresKey())
	assert.Assert(t, !New(Configuration{}).RequiresKey())
}

// TestFindAgreesWithALookAtAllRoutes draws many routes, as large configurations have, and compares with the plain rule.
func TestFindAgreesWithALookAtAllRoutes(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{1,2}){0,4}/`)
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i, prefix := range rapid.SliceOfN(path, 0, 40).Draw(t, "prefixes") {
			routes = append(routes, Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: prefix})
		}
		asked := path.Draw(t, "path") + rapid.StringMatching(`[ab]{0,2}`).Draw(t, "rest")
		var longest *Route
		for i := range routes {
			if strings.HasPrefix(asked, routes[i].PathPrefix) && (longest == nil || len(routes[i].PathPrefix) > len(longest.PathPrefix)) {
				longest = &routes[i]
			}
		}
		found := New(Configuration{Routes: routes}).Find("h", asked)
		assert.Equal(t, found == nil, longest == nil)
		if found != nil {
			assert.Equal(t, found.Name, longest.Name)
		}
	})
}
