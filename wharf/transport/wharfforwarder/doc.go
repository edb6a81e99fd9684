// Package wharfforwarder sends one request to one endpoint and passes the answer on as it comes.
package wharfforwarder
