package balancer

// linkedList is a doubly linked list. Its items hold their own nodes, so that nothing is allocated, and can
// be removed from anywhere.
type linkedList[T any] struct{ head, tail *listNode[T] }

type listNode[T any] struct {
	item       *T
	prev, next *listNode[T]
}

func (l *linkedList[T]) pushBack(n *listNode[T]) {
	if n.prev = l.tail; n.prev != nil {
		n.prev.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

func (l *linkedList[T]) pushFront(n *listNode[T]) {
	if n.next = l.head; n.next != nil {
		n.next.prev = n
	} else {
		l.tail = n
	}
	l.head = n
}

func (l *linkedList[T]) remove(n *listNode[T]) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
}
