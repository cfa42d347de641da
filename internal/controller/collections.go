package controller

// bitset is a set of integers from 0 on, a bit for each.
type bitset []uint64

// newBitset returns an empty set for the integers below n.
func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

// has reports whether i is in the set.
func (b bitset) has(i int) bool { return b[i>>6]&(1<<(i&63)) != 0 }

// set adds i and reports whether it was missing.
func (b bitset) set(i int) bool {
	if b.has(i) {
		return false
	}
	b[i>>6] |= 1 << (i & 63)
	return true
}

// intHeap is a heap.Interface of integers, the least first.
type intHeap []int

func (h intHeap) Len() int { return len(h) }

func (h intHeap) Less(i, j int) bool { return h[i] < h[j] }

func (h intHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *intHeap) Push(x any) { *h = append(*h, x.(int)) }

func (h *intHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
