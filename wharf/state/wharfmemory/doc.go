// Package wharfmemory counts the memory that a process holds for callers, under the load of many large or slow bodies at
// once. What is not reserved is not held, so that the sum stays within the process's limit whatever callers send.
package wharfmemory
