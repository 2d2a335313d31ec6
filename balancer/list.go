package balancer

// linkedList is a doubly linked list. The nodes are embedded in the items, so that the list allocates
// nothing and an item can be removed from any position.
type linkedList[T any] struct{ head, tail *listNode[T] }

// listNode is the node of an item.
type listNode[T any] struct {
	item       *T
	prev, next *listNode[T]
}

func (l *linkedList[T]) pushBack(node *listNode[T]) {
	node.prev = l.tail
	if l.tail != nil {
		l.tail.next = node
	} else {
		l.head = node
	}
	l.tail = node
}

func (l *linkedList[T]) pushFront(node *listNode[T]) {
	node.next = l.head
	if l.head != nil {
		l.head.prev = node
	} else {
		l.tail = node
	}
	l.head = node
}

func (l *linkedList[T]) remove(node *listNode[T]) {
	if node.prev != nil {
		node.prev.next = node.next
	} else {
		l.head = node.next
	}
	if node.next != nil {
		node.next.prev = node.prev
	} else {
		l.tail = node.prev
	}
	node.prev = nil
	node.next = nil
}

// length counts the items.
func (l *linkedList[T]) length() int {
	n := 0
	for node := l.head; node != nil; node = node.next {
		n++
	}
	return n
}
