package wharfjobrunner

import (
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftask"
)

// legacyRouteWait replaces the comparison of versions for jobs of older builds, whose rows do not name the version that had their
// route: by then, a host that is behind has seen the version or is out of service.
const legacyRouteWait = time.Minute

// routeOf returns the route by which a job's items run, or nil if the configuration has none.
func routeOf(table *wharfroute.Table, job *wharfjobstore.Job) *wharfroute.Route {
	return table.BatchRoute(job.Route, job.Host, job.PathPrefix)
}

// routeRemoved reports whether a configuration without a route for a job is newer than the one under which the job was accepted.
// One that is older may not have the route yet.
func routeRemoved(table *wharfroute.Table, job *wharfjobstore.Job, storeNow time.Duration) bool {
	if job.ConfigurationVersion == 0 {
		return storeNow >= job.AcceptedAt+legacyRouteWait
	}
	return table.Version > job.ConfigurationVersion
}

// giveUpWithoutRoute records a failure for each item of a job whose route was removed, except those that are running. The caller
// holds r.mu.
func (r *Runner) giveUpWithoutRoute(table *wharfroute.Table, aj *activeJob, storeNow time.Duration) {
	if !routeRemoved(table, &aj.job, storeNow) {
		return
	}
	count := 0
	for _, i := range aj.items {
		if i.finished || i.cancel != nil {
			continue
		}
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "its route was removed"})
		count++
	}
	if count > 0 {
		klog.InfoS("batch items given up: route removed", "request-id", aj.job.ID, "organisation", aj.job.Organisation,
			"route", aj.job.Route, "accepted-at-version", aj.job.ConfigurationVersion, "configuration-version", table.Version,
			"items", count)
	}
}
