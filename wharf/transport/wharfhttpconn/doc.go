// Package wharfhttpconn pools HTTP/1.1 connections to endpoints, each of which carries one request at a time.
//
// It uses net/http to parse messages but not its Transport, which resends some requests on its own and does not report
// whether the endpoint may have read a request.
package wharfhttpconn
