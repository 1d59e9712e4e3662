package scheduler

// item is an element of a heap. It stores its own index, -1 if it is in no heap, so that a
// change of its key takes logarithmic time and no search.
type item[T any] interface {
	less(other T) bool
	index() *int
}

// heap is a binary heap of items, the lowest first.
type heap[T item[T]] struct{ items []T }

func (h *heap[T]) len() int { return len(h.items) }

// min returns the lowest item of a heap that is not empty.
func (h *heap[T]) min() T { return h.items[0] }

// push adds x, or restores the order if x is in the heap already.
func (h *heap[T]) push(x T) {
	if *x.index() >= 0 {
		h.fix(x)
		return
	}
	*x.index() = len(h.items)
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

// remove removes x, if it is in the heap.
func (h *heap[T]) remove(x T) {
	i := *x.index()
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*x.index() = -1
	if i < last {
		h.up(i)
		h.down(i)
	}
}

// fix restores the order after the key of x has changed.
func (h *heap[T]) fix(x T) {
	i := *x.index()
	if i < 0 {
		return
	}
	h.up(i)
	h.down(*x.index())
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.items[right].less(h.items[child]) {
			child = right
		}
		if !h.items[child].less(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].index() = i
	*h.items[j].index() = j
}
