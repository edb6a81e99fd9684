// Package wharftrace implements "log trace", which prints the log lines of one request, batch job or item from the
// logs of all hosts.
package wharftrace
