package testutil

import (
	"runtime"
	"testing"
	"weak"
)

// maxCollections is the number of garbage collections after which memory without references is gone, with that in a
// sync.Pool, which keeps it for two.
const maxCollections = 4

// CheckCollected fails the test if memory is still referenced. It must have an allocation of its own, which holds for
// anything of 16 bytes or more.
func CheckCollected[T any](t testing.TB, what string, memory weak.Pointer[T]) {
	t.Helper()
	for range maxCollections {
		runtime.GC()
		if memory.Value() == nil {
			return
		}
	}
	t.Errorf("%s is still referenced, want it to be garbage", what)
}
