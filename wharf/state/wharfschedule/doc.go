// Package wharfschedule decides which batch items run first and which give way.
//
// It answers the load at which more items wait than can be done in time: by due time alone every item would be late, so
// items that can still be on time go before those that can not.
package wharfschedule
