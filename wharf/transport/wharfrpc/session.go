package wharfrpc

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"reflect"
	"sync"
	"time"
)

// session is a connection to a peer. Once retired, it takes no further calls, and closes after the last one or after
// retirementTimeout.
type session struct {
	client *rpc.Client

	mu        sync.Mutex
	waiting   int       // calls that have begun and not ended
	lastReply time.Time // when a call was last answered
	retired   bool
	closing   *time.Timer // closes a retired connection
}

// begin counts a call, and reports false if the connection is retired.
func (s *session) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.waiting++
	return true
}

// finishCall makes a call that has begun, and returns when ctx is done at the latest. The connection is retired then, unless
// another call was answered meanwhile, which shows that only the method is slow.
func (s *session) finishCall(ctx context.Context, method string, args, reply any) error {
	start := time.Now()
	// The call runs on its own, since sending blocks while the peer does not read, and has a reply of its own, since its
	// answer may come after the return.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() {
		err := s.client.Call(method, args, received.Interface())
		s.end(answered(err))
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		if answered(err) {
			return err
		}
		s.retire()
		return fmt.Errorf("%w: %v", ErrNoReply, err)
	case <-ctx.Done():
		if !s.answeredSince(start) {
			s.retire()
		}
		return fmt.Errorf("%w: %v", ErrNoReply, ctx.Err())
	}
}

// answered reports whether a call that ended with err was answered by the peer.
func answered(err error) bool {
	var serverErr rpc.ServerError
	return err == nil || errors.As(err, &serverErr)
}

// end counts a call that has ended.
func (s *session) end(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if answered {
		s.lastReply = time.Now()
	}
	if s.retired && s.waiting == 0 {
		s.closing.Stop()
		_ = s.client.Close()
	}
}

func (s *session) answeredSince(start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReply.After(start)
}

func (s *session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return
	}
	s.retired = true
	limit := retirementTimeout
	if s.waiting == 0 {
		limit = 0
	}
	s.closing = time.AfterFunc(limit, func() { _ = s.client.Close() })
}
