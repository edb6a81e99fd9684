// Package wharfcrash finds out what makes requests crash the endpoints that run them: the whole request, or a part of its
// prompt that other requests share.
//
// An endpoint that crashes breaks the connections of all its requests, so each crash counts against all identities of the
// requests that they had not begun to answer. An answer that begins clears all identities of its request.
package wharfcrash
