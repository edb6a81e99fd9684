// Package wharffrontend serves callers of configured routes: it proxies online requests to
// endpoints, and accepts batch jobs and returns their results.
package wharffrontend
