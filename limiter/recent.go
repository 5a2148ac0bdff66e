package limiter

import "container/list"

// lruCache maps names to values and drops the least recently used name when it
// is full.
type lruCache struct {
	capacity  int
	byLastUse *list.List
	elements  map[string]*list.Element
}

type lruEntry struct {
	name  string
	value any
}

func newLRUCache(capacity int) *lruCache {
	return &lruCache{capacity: max(capacity, 1), byLastUse: list.New(), elements: map[string]*list.Element{}}
}

func (c *lruCache) get(name string, create func() any) any {
	if element, ok := c.elements[name]; ok {
		c.byLastUse.MoveToFront(element)
		return element.Value.(*lruEntry).value
	}
	if c.byLastUse.Len() >= c.capacity {
		oldest := c.byLastUse.Back()
		delete(c.elements, c.byLastUse.Remove(oldest).(*lruEntry).name)
	}
	entry := &lruEntry{name: name, value: create()}
	c.elements[name] = c.byLastUse.PushFront(entry)
	return entry.value
}
