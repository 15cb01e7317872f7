// Package heapsize measures how much heap memory values occupy.
package heapsize

import "runtime"

// Of returns the number of heap bytes that the result of fill occupies. Nothing else in the process may
// allocate during the call.
func Of(fill func() any) int64 {
	before := InUse()
	v := fill()
	after := InUse()
	runtime.KeepAlive(v)
	return after - before
}

// InUse returns the number of heap bytes in use after a garbage collection.
func InUse() int64 {
	runtime.GC()
	runtime.GC() // frees what the first collection kept for finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
