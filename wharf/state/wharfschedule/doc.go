// Package wharfschedule orders batch items by which should run first and which should be preempted.
//
// Under overload, when more items wait than can finish in time, earliest deadline first would make every item late.
// Items that can still meet their deadline therefore run before those that cannot.
package wharfschedule
