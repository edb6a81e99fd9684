// Package wharftimeout decides how long an online request may wait for a slot, how long an endpoint may be silent, and
// when a caller that is turned away should come back.
//
// It answers bursts in which all slots are taken for a few seconds: a caller that hears early that its request has not
// run can return while an answer is still of use, and one that waits holds up nobody else's return.
package wharftimeout
