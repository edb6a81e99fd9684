package wharfdaemon

import (
	"encoding/json"
	"expvar"
)

// addRuntimeVars adds all expvar variables, including memory statistics, to vars. It omits the command line.
func addRuntimeVars(vars map[string]any) {
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return
		}
		vars[kv.Key] = json.RawMessage(kv.Value.String())
	})
}
