package governor

import (
	"bufio"
	"os"
	"strconv"
	"strings"
)

// totalDivisor and totalFactor give the account's share of the memory of a router: three eighths.
// At 134 MB, the smallest VM, these are 50 MB: 700 bodies of 72 KB. The Go runtime collects
// garbage so that everything stays below 70% of the memory; the rest of these, 44 MB, is for the
// router's own state, stacks and garbage. The last 30% is for the program's text and the kernel's
// buffers.
const totalFactor, totalDivisor = 3, 8

// TotalOf returns the account's total for a memory size in MB; 0 stands for the memory of the
// machine.
func TotalOf(memoryMB int) int64 {
	bytes := int64(memoryMB) << 20
	if bytes <= 0 {
		bytes = machineBytes("/proc/meminfo")
	}
	return bytes * totalFactor / totalDivisor
}

// machineBytes returns the memory of the machine, or 0 if it is not known.
func machineBytes(file string) int64 {
	f, err := os.Open(file)
	if err != nil {
		return 0
	}
	defer f.Close() //nolint:errcheck // only read
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// ResidentBytes returns the resident memory of this process, or 0 if it is not known.
func ResidentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
