// Package wharfgate holds online requests back, fairly between organisations, while every endpoint is full.
package wharfgate
