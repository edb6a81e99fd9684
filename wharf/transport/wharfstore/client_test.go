package wharfstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharftable"
)

// lossyTable is a table that drops its replies to the first commits, either after applying them or without.
type lossyTable struct {
	table *wharftable.Table
	lost  int
	apply bool
	down  bool
}

func (l *lossyTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/table/row" {
		_ = json.NewEncoder(w).Encode(l.table.Get(r.URL.Query().Get("key")))
		return
	}
	var commit wharfrow.Commit
	_ = json.NewDecoder(r.Body).Decode(&commit)
	if l.lost > 0 {
		l.lost--
		if l.apply {
			_ = l.table.Commit(commit)
		}
		panic(http.ErrAbortHandler)
	}
	if err := l.table.Commit(commit); err != nil {
		w.WriteHeader(http.StatusConflict)
	}
}

func newClient(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := New(server.URL, "zone")
	t.Cleanup(client.Close)
	return client
}

func commitOf(id, key string, version uint64) wharfrow.Commit {
	return wharfrow.Commit{
		ID:         id,
		Conditions: []wharfrow.Condition{{Key: key, Version: version}},
		Writes:     []wharfrow.Write{{Key: key, Value: []byte(`1`)}},
	}
}

func TestCommitResolvesLostReplies(t *testing.T) {
	for _, apply := range []bool{false, true} {
		l := &lossyTable{table: wharftable.New(), lost: 2, apply: apply}
		client := newClient(t, l)
		assert.NilError(t, client.Commit(context.Background(), commitOf("one", "key", 0)))
		assert.Equal(t, l.table.Get("key").Writer, "one")
	}
}

func TestCommitByAnotherWriterIsAConflict(t *testing.T) {
	l := &lossyTable{table: wharftable.New()}
	assert.NilError(t, l.table.Commit(commitOf("other", "key", 0)))
	l.lost = 1
	err := newClient(t, l).Commit(context.Background(), commitOf("one", "key", 0))
	assert.Assert(t, errors.Is(err, wharfrow.ErrConflict))
}

func TestCommitOutcomeIsUnknownOnlyWithoutReply(t *testing.T) {
	l := &lossyTable{table: wharftable.New(), lost: 1000, apply: true}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := newClient(t, l).Commit(ctx, commitOf("one", "key", 0))
	assert.Assert(t, errors.Is(err, wharfrow.ErrUnknown))
	down := newClient(t, &lossyTable{down: true})
	err = down.Commit(context.Background(), commitOf("one", "key", 0))
	assert.Assert(t, errors.Is(err, wharfrow.ErrUnavailable))
}

// TestInvalidStatusIsNoReply guards against a commit that counts as done because of a status that is none.
func TestInvalidStatusIsNoReply(t *testing.T) {
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.NilError(t, err)
		_, _ = conn.Write([]byte("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"))
		_ = conn.Close()
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := client.Commit(ctx, commitOf("one", "key", 0))
	assert.Assert(t, errors.Is(err, wharfrow.ErrUnknown), "%v", err)
}
