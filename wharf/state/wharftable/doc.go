// Package wharftable holds the reference semantics of a transactional table in memory.
package wharftable
