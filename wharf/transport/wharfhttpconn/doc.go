// Package wharfhttpconn keeps connections to endpoints and sends one request at a time on each.
//
// net/http parses and writes the messages; its transport is not used, since it sends some requests again by itself and
// does not tell what an endpoint may have read.
package wharfhttpconn
