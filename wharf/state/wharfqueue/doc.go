// Package wharfqueue holds a queue that shares service between organisations by deficit round robin.
package wharfqueue
