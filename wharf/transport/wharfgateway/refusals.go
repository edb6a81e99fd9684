package wharfgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobs"
	"wagtailwharf.example/wharf/coordination/wharfonce"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/transport/wharfbody"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
)

var (
	errNoKey = wharfrefusal.New(http.StatusUnauthorized, "no-key",
		"send your key as Authorization: Bearer KEY")
	errBadKey = wharfrefusal.New(http.StatusUnauthorized, "bad-key",
		"this key is not granted; ask your operator for one")
	errKeyInRequest = wharfrefusal.New(http.StatusBadRequest, "key-in-request",
		"the request holds the key outside its Authorization header; remove it, since endpoints never see keys")
	errFenced = wharfrefusal.New(http.StatusServiceUnavailable, "host-fenced",
		"this host may not serve keyed requests at present; try again")
	errOverRate = wharfrefusal.New(http.StatusTooManyRequests, "over-rate",
		"the organisation is over its rate; come back later")
	errRateUnavailable = wharfrefusal.New(http.StatusServiceUnavailable, "rate-unavailable",
		"the organisation's rate can not be checked at present; try again")
	errTooLarge = wharfrefusal.New(http.StatusRequestEntityTooLarge, "too-large",
		"the request is larger than this deployment allows")
	errNoMemory = wharfrefusal.New(http.StatusServiceUnavailable, "no-memory",
		"this host has no memory left for the request; come back later")
	errTooSlow = wharfrefusal.New(http.StatusRequestTimeout, "too-slow",
		"the request's body arrives more slowly than this host allows")
	errNoEndpoint = wharfrefusal.New(http.StatusServiceUnavailable, "no-endpoint",
		"no endpoint of this service works at present; try again")
	errBusy = wharfrefusal.New(http.StatusServiceUnavailable, "busy",
		"every endpoint is busy; come back later")
	errCrashesEndpoints = wharfrefusal.New(http.StatusUnprocessableEntity, "crashes-endpoints",
		"this request crashes the endpoints that run it and is not run again")
	errKeyRevoked = wharfrefusal.New(http.StatusUnauthorized, "key-withdrawn",
		"the key was withdrawn while the request ran").MayHaveRun()
	errEndpointFailed = wharfrefusal.New(http.StatusBadGateway, "endpoint-failed",
		"the endpoint did not give a whole answer").MayHaveRun()
	errEndpointUnreachable = wharfrefusal.New(http.StatusServiceUnavailable, "endpoint-unreachable",
		"the endpoint could not be reached; try again")
	errPlatform = wharfrefusal.New(http.StatusServiceUnavailable, "platform-unavailable",
		"the platform's store does not answer at present; try again")
	errOutcomeUnknown = wharfrefusal.New(http.StatusServiceUnavailable, "outcome-unknown",
		"the store's answer was lost; send the same request again to learn the outcome").MayHaveRun()
	errMayHaveRun = wharfrefusal.New(http.StatusConflict, "may-have-run",
		"a request with this idempotency key was taken before and its outcome is not known").MayHaveRun()
	errKeyReused = wharfrefusal.New(http.StatusUnprocessableEntity, "idempotency-key-reused",
		"this idempotency key was used for another request")
	errNotFound = wharfrefusal.New(http.StatusNotFound, "not-found",
		"the organisation has no such file or batch")
	errNoRoute    = wharfrefusal.New(http.StatusNotFound, "unknown-route", "the service has no such route")
	errCallerGone = wharfrefusal.New(http.StatusRequestTimeout, "caller-gone",
		"the request was not received whole in time")
)

// refusalOf maps errors of lower layers to refusals.
func refusalOf(err error) *wharfrefusal.Refusal {
	var refusal *wharfrefusal.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, wharfjobs.ErrNotFound):
		return errNotFound
	case errors.Is(err, wharfjobs.ErrBadInput), errors.Is(err, wharfapi.ErrMalformed):
		return wharfrefusal.New(http.StatusBadRequest, "bad-input", trace.Unwrap(err).Error())
	case errors.Is(err, wharfjobs.ErrKeyReused), errors.Is(err, wharfonce.ErrKeyReused):
		return errKeyReused
	case errors.Is(err, wharfonce.ErrReserved):
		return errMayHaveRun.WithRetryAfter(time.Second)
	case errors.Is(err, wharfrow.ErrUnavailable):
		return errPlatform.WithRetryAfter(time.Second)
	case errors.Is(err, wharfrow.ErrUnknown):
		return errOutcomeUnknown.WithRetryAfter(time.Second)
	case errors.Is(err, wharfmemory.ErrExhausted):
		return errNoMemory.WithRetryAfter(time.Second)
	case errors.Is(err, ErrKeyRevoked):
		return errKeyRevoked
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return errCallerGone
	}
	return wharfrefusal.FromError(err)
}

// gateRefusal maps an error of the gate to a refusal; the request was not sent.
func gateRefusal(err error, wait time.Duration) error {
	switch {
	case errors.Is(err, wharfgate.ErrBusy), errors.Is(err, wharfpick.ErrAllFull):
		return errBusy.WithRetryAfter(wait)
	case errors.Is(err, wharfpick.ErrNoEndpoint):
		return errNoEndpoint.WithRetryAfter(wait)
	}
	return err
}

// endpointRefusal maps the error of the last attempt to a refusal.
func endpointRefusal(err error, mayHaveRun bool) error {
	if errors.Is(err, ErrKeyRevoked) || errors.Is(err, context.Canceled) {
		return err
	}
	if errors.Is(err, wharfendpointclient.ErrNotSent) && !mayHaveRun {
		return errEndpointUnreachable.WithRetryAfter(time.Second)
	}
	return errEndpointFailed.WithRetryAfter(time.Second)
}

// bearerToken returns the key of a request, or a refusal if it has none.
func bearerToken(r *http.Request) (string, *wharfrefusal.Refusal) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	token = strings.TrimSpace(token)
	if !found || token == "" {
		return "", errNoKey
	}
	return token, nil
}

// readBody reads a body within the limits of memory, size and time, and refuses it if it contains the caller's key. The
// caller of readBody must release the body's memory if there is no error.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, token string) (wharfbody.Body, error) {
	limits := &s.options.Limits
	body, err := s.options.Bodies.Read(r.Context(), w, r, limits.MaxBodyBytes, time.Now().Add(limits.BodyTimeout))
	if err == nil && containsKey(token, body.Data, r) {
		err = errKeyInRequest
	}
	if err != nil {
		body.Memory.Release()
		return wharfbody.Body{}, bodyRefusal(err)
	}
	return body, nil
}

// bodyRefusal maps errors of a body that was not read whole to refusals.
func bodyRefusal(err error) error {
	switch {
	case errors.Is(err, wharfbody.ErrTooLarge):
		return errTooLarge
	case errors.Is(err, wharfmemory.ErrExhausted):
		return errNoMemory.WithRetryAfter(time.Second)
	case errors.Is(err, wharfbody.ErrTooSlow):
		return errTooSlow
	case errors.Is(err, wharfbody.ErrTruncated), errors.Is(err, wharfbody.ErrGivenUp):
		return errCallerGone
	}
	return err
}

// containsKey reports whether the body, query or path contains the caller's key, which must not reach endpoints.
func containsKey(token string, body []byte, r *http.Request) bool {
	if token == "" {
		return false
	}
	return bytes.Contains(body, []byte(token)) || strings.Contains(r.URL.RawQuery, token) ||
		strings.Contains(r.URL.Path, token)
}

func writeJSON(w http.ResponseWriter, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
	return nil
}
