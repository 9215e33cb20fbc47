package ingress

import "sync/atomic"

// defaultMemory bounds the bodies that are held in memory if the VM's memory is not
// known.
const defaultMemory = 64 << 20

// memoryShare is the share of the VM's memory that bodies held for another try may
// take together.
const memoryShare = 0.125

// memory counts the bytes of request and response bodies that are held, so that many
// large ones at callers that send or read slowly don't fill the VM. It is safe for
// concurrent use.
type memory struct{ free atomic.Int64 }

// newMemory returns the budget for a VM with so many bytes of memory; zero means
// unknown.
func newMemory(vm int64) *memory {
	m := &memory{}
	m.free.Store(defaultMemory)
	if vm > 0 {
		m.free.Store(int64(memoryShare * float64(vm)))
	}
	return m
}

// reserve takes n bytes. It returns false if they are not free.
func (m *memory) reserve(n int) bool {
	if m.free.Add(-int64(n)) >= 0 {
		return true
	}
	m.free.Add(int64(n))
	return false
}

func (m *memory) release(n int) { m.free.Add(int64(n)) }
