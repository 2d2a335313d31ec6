package body

import "testing"

// Each purpose has its own limit, all that is reserved can be released, and buffers become small near the limit.
func TestBudgetLimitsEachPurpose(t *testing.T) {
	b := NewBudget(1 << 20)
	_, limit := b.Used(RequestBodies)
	if limit != 1<<17 {
		t.Errorf("limit of requests: got %d bytes, want %d", limit, 1<<17)
	}
	if !b.Reserve(RequestBodies, limit) {
		t.Error("Reserve of the whole limit: got false, want true")
	}
	if b.Reserve(RequestBodies, 1) {
		t.Error("Reserve of a byte beyond the limit: got true, want false")
	}
	if !b.Reserve(ResponseBodies, 1<<18) {
		t.Error("Reserve of the whole limit of responses while that of requests is used up: got false, want true")
	}
	if b.Reserve(ResponseBodies, 1) {
		t.Error("Reserve of a byte beyond the limit of responses: got true, want false")
	}
	b.Release(RequestBodies, limit)
	if b.NearLimit(RequestBodies) || !b.NearLimit(ResponseBodies) {
		t.Errorf("near the limit: requests %t, responses %t, want false and true", b.NearLimit(RequestBodies), b.NearLimit(ResponseBodies))
	}
}

func TestBudgetBuffersAreSmallNearTheLimit(t *testing.T) {
	b := NewBudget(1 << 20)
	b.Reserve(ResponseBodies, 1<<18)
	var buffers []*[]byte
	sizes := map[int]int{}
	for buf := b.AcquireBuffer(); buf != nil; buf = b.AcquireBuffer() {
		sizes[len(*buf)]++
		buffers = append(buffers, buf)
	}
	used, limit := b.Used(StreamBuffers)
	if used > limit || sizes[largeBufferSize] != 2 || sizes[smallBufferSize] != 0 {
		t.Errorf("%d of %d bytes, buffers by size %v, want 2 large ones within the limit", used, limit, sizes)
	}
	for _, buf := range buffers {
		b.ReleaseBuffer(buf)
	}
	for _, p := range Purposes() {
		if used, _ := b.Used(p); p != ResponseBodies && used != 0 {
			t.Errorf("%v: %d bytes are still reserved, want 0", p, used)
		}
	}
	if used, _ := b.Used(ResponseBodies); used != 1<<18 {
		t.Errorf("responses: %d bytes are reserved, want %d", used, 1<<18)
	}
}

// While two processes share the memory, each reserves from half of it; what was reserved before counts.
func TestBudgetFollowsMemoryLimit(t *testing.T) {
	b := NewBudget(64 << 20)
	_, whole := b.Used(RequestBodies)
	if !b.Reserve(RequestBodies, whole/2) {
		t.Fatal("reserve half: got false, want true")
	}
	b.SetMemoryLimit(32 << 20)
	if _, limit := b.Used(RequestBodies); limit != whole/2 {
		t.Errorf("got a limit of %d bytes with half of the memory, want %d", limit, whole/2)
	}
	if b.Reserve(RequestBodies, 1) {
		t.Error("reserve beyond half of the memory: got true, want false")
	}
	b.SetMemoryLimit(64 << 20)
	if !b.Reserve(RequestBodies, whole/2) {
		t.Error("reserve the rest: got false, want true")
	}
}
