package wharfcall

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestItemsThatHoldMoreThanOneRequestAreInvalid guards against an item whose fields end the request line or a header line, so that
// an endpoint reads another request, of any organisation.
func TestItemsThatHoldMoreThanOneRequestAreInvalid(t *testing.T) {
	valid := func() Item {
		return Item{ID: "i1", Path: "/p/a%20b?c=d&e=é", Header: http.Header{"Model": {"m", ""}, "X-Any": {"a, b\tc"}}}
	}
	item := valid()
	assert.NilError(t, item.Check())
	for _, bytes := range []string{"\r\n", "\n", "\r", "\x00", "\x7f", "\x01"} {
		for field, change := range map[string]func(i *Item){
			"ID":           func(i *Item) { i.ID = "i" + bytes + "1" },
			"path":         func(i *Item) { i.Path = "/p" + bytes },
			"header name":  func(i *Item) { i.Header["X"+bytes] = []string{"y"} },
			"header X-Any": func(i *Item) { i.Header["X-Any"] = []string{"a", "b" + bytes} },
		} {
			item := valid()
			change(&item)
			err := item.Check()
			assert.Assert(t, errors.Is(err, ErrInvalid) && strings.Contains(err.Error(), field), "%q in %s: %v", bytes, field, err)
		}
	}
	for _, path := range []string{"", "p", "http://h/p", "*", "/p HTTP/1.1", "/p\t", " /p"} {
		item := valid()
		item.Path = path
		assert.Assert(t, errors.Is(item.Check(), ErrInvalid), "path %q", path)
	}
	for _, name := range []string{"", "a b", "a:", "Tenant:", "é"} {
		item := valid()
		item.Header[name] = []string{"x"}
		assert.Assert(t, errors.Is(item.Check(), ErrInvalid), "name %q", name)
	}
	item = valid()
	item.ID = ""
	assert.Assert(t, errors.Is(item.Check(), ErrInvalid))
}
