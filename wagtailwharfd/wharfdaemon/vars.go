package wharfdaemon

import (
	"encoding/json"
	"expvar"
)

// addRuntimeVars adds what the process publishes through expvar, memory statistics among it.
func addRuntimeVars(vars map[string]any) {
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return
		}
		vars[kv.Key] = json.RawMessage(kv.Value.String())
	})
}
