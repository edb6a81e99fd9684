// Package wharfdemo demonstrates a deployment end to end on loopback: online requests, a batch job and a killed daemon.
package wharfdemo
