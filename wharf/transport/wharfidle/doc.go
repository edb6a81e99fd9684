// Package wharfidle closes callers' connections that exceed the idle timeout of the current configuration.
package wharfidle
