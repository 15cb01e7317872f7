// Package heapsize measures what things hold in memory.
package heapsize

import "runtime"

// Of is the bytes of heap that what fill returns holds, beyond what was held before. Nothing else
// of the process may allocate meanwhile.
func Of(fill func() any) int64 {
	before := Held()
	v := fill()
	after := Held()
	runtime.KeepAlive(v)
	return after - before
}

// Held is the bytes of heap that are in use, after a collection.
func Held() int64 {
	runtime.GC() // the first one frees what waits for finalizers
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
