// Package wharfendpointclient sends requests to endpoints and checks their answers.
package wharfendpointclient
