// Package wharfchat implements "chat", which sends a question to a model and prints the streamed answer.
package wharfchat
