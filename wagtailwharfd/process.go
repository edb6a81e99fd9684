package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set as the Go runtime's soft limit. The rest
	// leaves room for stacks, socket buffers and allocations during a garbage collection.
	memoryLimitShare = 0.6
	// gcPercent is the garbage collection target below the soft limit. It is above the default of 100 because the live
	// heap is small, which makes collections cheap but frequent.
	gcPercent = 200
)

// limitMemory configures the garbage collector for a process limit in megabytes.
func limitMemory(megabytes int64) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes<<20)))
	debug.SetGCPercent(gcPercent)
}

// ownMemory is what a daemon of our own interface needs beside the bodies of callers.
const ownMemory = 48 << 20

// collectBeyond makes the garbage collector work harder beyond what the process needs at most with the given memory for
// bodies. A process without a memory limit would otherwise grow to twice that.
func collectBeyond(bodies, reserve int64) {
	debug.SetMemoryLimit(bodies + reserve + ownMemory)
}

// reloadOnSignal reloads the settings on each SIGHUP until ctx is done. Only the memory limit takes effect; addresses
// and names stay fixed until the next start.
func reloadOnSignal(ctx context.Context, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-signals:
				reload(path)
			case <-ctx.Done():
				signal.Stop(signals)
				return
			}
		}
	}()
}

// reload validates the settings file and applies its memory limit.
func reload(path string) {
	settings, err := wharfhostsettings.Read(path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; keeping the previous settings", "file", path)
		return
	}
	limitMemory(settings.MemoryMB)
	klog.InfoS("settings reloaded", "file", path, "memory-mb", settings.MemoryMB)
}
