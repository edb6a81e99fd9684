// Package wharfendpointclient sends HTTP requests to endpoints and checks that each response belongs to its request.
package wharfendpointclient
