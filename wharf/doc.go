// Package wharf is the root of the layers that the daemon is made of.
package wharf
