package sloper

import (
	"runtime"
	"syscall"
	"time"
)

// CPU returns the processor time that this process has used. It differs from
// the time on the wall on a machine that is shared.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Heap returns the bytes of live objects.
func Heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
