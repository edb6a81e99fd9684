// Package wharfhostcalls implements the net/rpc client and server for calls between hosts: transfers of rate-limit
// tokens, snapshots of the directory, reports of crashes, relayed store calls and
// reservations of slots.
package wharfhostcalls
