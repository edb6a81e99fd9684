// Package wharfengine sends requests to endpoints and checks their answers.
package wharfengine
