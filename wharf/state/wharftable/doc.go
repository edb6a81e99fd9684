// Package wharftable implements the reference semantics of the platform's transactional table in memory.
package wharftable
