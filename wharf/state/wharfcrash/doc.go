// Package wharfcrash finds out what makes requests crash the endpoints that run them: the whole request, or a part of its
// prompt that other requests share.
//
// An endpoint that crashes breaks the connections of all its requests, so each crash speaks against everything that the
// requests without an event have in common. An answer that begins speaks for all of its request.
package wharfcrash
