package hold

import (
	"bytes"
	"os"
	"path"
	"runtime/debug"
	"strconv"
	"strings"

	"lentilproxy/core/budget"

	"golang.org/x/sys/unix"
)

const (
	// memoryUnit is the unit of the memory limit in the settings.
	memoryUnit = 1_000_000
	// machineFraction is the part of the machine's memory that a process uses for which nothing states a limit.
	machineFraction = 0.5
	// defaultMemory and defaultDescriptors are used if the system does not tell its own.
	defaultMemory      = 512 * memoryUnit
	defaultDescriptors = 1024
	// noLimit is the least number that counts as no limit.
	noLimit = 1 << 50
)

// Memory returns the memory in bytes that the process may use: the one in the settings, if they state one, or the least limit that the
// system states for the process, or a fraction of the machine's memory.
func Memory(settingMB float64) int64 {
	memory := int64(settingMB * memoryUnit)
	if memory <= 0 {
		memory = systemMemory()
	}
	return memory
}

// LimitRuntime sets the limit of the Go runtime for a process that may use some memory.
func LimitRuntime(memory int64) { debug.SetMemoryLimit(budget.RuntimeLimit(memory)) }

func systemMemory() int64 {
	least := int64(noLimit)
	if limit, found := controlGroupLimit(); found {
		least = min(least, limit)
	}
	if limit, found := resourceLimit(unix.RLIMIT_AS); found {
		least = min(least, limit)
	}
	if least < noLimit {
		return least
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return defaultMemory
	}
	return int64(machineFraction * float64(info.Totalram) * float64(max(1, info.Unit)))
}

// Descriptors returns the number of descriptors that the process may open: the one in the settings, if they state one, but not more
// than the system allows.
func Descriptors(setting float64) int {
	limit, found := resourceLimit(unix.RLIMIT_NOFILE)
	if !found {
		limit = defaultDescriptors
	}
	if setting > 0 {
		limit = min(limit, int64(setting))
	}
	return int(limit)
}

// resourceLimit returns the soft limit of a resource, if there is one.
func resourceLimit(resource int) (int64, bool) {
	var limit unix.Rlimit
	if unix.Getrlimit(resource, &limit) != nil || limit.Cur >= noLimit {
		return 0, false
	}
	return int64(limit.Cur), true
}

// controlGroupLimit returns the least memory limit of the process's control group (version 2) and those above it, if there is one.
func controlGroupLimit() (int64, bool) {
	const root = "/sys/fs/cgroup"
	content, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return 0, false
	}
	group := ""
	for line := range strings.Lines(string(content)) {
		if name, found := strings.CutPrefix(strings.TrimSpace(line), "0::"); found {
			group = name
		}
	}
	least, found := int64(noLimit), false
	for ; group != ""; group = path.Dir(group) {
		if limit, stated := readLimit(path.Join(root, group, "memory.max")); stated {
			least, found = min(least, limit), true
		}
		if group == "/" || group == "." {
			break
		}
	}
	return least, found
}

func readLimit(name string) (int64, bool) {
	content, err := os.ReadFile(name)
	if err != nil {
		return 0, false
	}
	limit, err := strconv.ParseInt(string(bytes.TrimSpace(content)), 10, 64)
	return limit, err == nil && limit < noLimit
}
