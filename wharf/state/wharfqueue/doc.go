// Package wharfqueue implements a fair queue that shares service between organisations by deficit round robin.
package wharfqueue
