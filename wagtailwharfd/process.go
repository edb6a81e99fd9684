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
	// memoryShare is the part of the process's limit from which garbage is collected as often as needed: the rest holds
	// stacks, sockets' buffers and what is allocated during a collection.
	memoryShare = 0.6
	// collectAt is the growth of the heap in percent between two collections below that; a small live heap makes them
	// cheap but frequent.
	collectAt = 200
)

func limitMemory(megabytes int64) {
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	debug.SetGCPercent(collectAt)
}

// reloadOnSignal checks the settings again at each SIGHUP; addresses and names are fixed until the next start.
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

func reload(path string) {
	settings, err := wharfhostsettings.Read(path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the last ones stay in force", "file", path)
		return
	}
	limitMemory(settings.MemoryMB)
	klog.InfoS("settings reloaded", "file", path, "memory-mb", settings.MemoryMB)
}
