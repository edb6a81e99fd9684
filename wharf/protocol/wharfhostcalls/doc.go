// Package wharfhostcalls implements the net/rpc client and server for calls between hosts: transfers of rate-limit
// tokens, snapshots of the directory, reports of crashes and relayed store calls.
package wharfhostcalls
