package storer_test

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"goldcreststack.example/goldcreststack/storer"
)

var (
	errStopped = errors.New("the machine has stopped")
	errSync    = errors.New("input/output error")
)

// inode is the content of one file: the bytes that processes see, and those that
// are durable.
type inode struct {
	visible, durable []byte
}

// pending is a change to a file's content or to the names in the folder that no
// sync has made durable yet.
type pending struct {
	node *inode
	// A change of content: a write of data at offset at, or a truncation to size
	// at.
	at         int64
	data       []byte
	isTruncate bool
	// A change of names: name becomes that of node instead of from, or is removed
	// if node is nil.
	name, from string
}

// units returns the number of parts of a change that can be lost separately: the
// bytes of a write, or one for any other change.
func (p pending) units() int {
	if p.name != "" || p.isTruncate {
		return 1
	}
	return len(p.data)
}

// loss decides which units of a pending change survive a crash: those in
// [from, to). With zeros, the lost bytes of a write are read as zeros.
type loss func(p pending) (from, to int, zeros bool)

// fakeDisk is a file system in memory that can lose all changes without a sync.
type fakeDisk struct {
	names   map[string]*inode
	durable map[string]*inode
	pending []pending
	locked  bool
	// ops counts the changes and syncs. The machine stops in the one numbered
	// stopAt, unless that is negative.
	ops, stopAt int
	// syncs counts the syncs. The one numbered failedSync fails.
	syncs, failedSync int
	// freeBytes is the number of bytes that can be written before the disk is full.
	freeBytes int
	// beforeRename is called once before the next rename. It makes calls that other
	// goroutines could make at this point.
	beforeRename func()
	// segment is the segment size of the store in bytes.
	segment int64
}

func newDisk() *fakeDisk {
	return &fakeDisk{names: map[string]*inode{}, durable: map[string]*inode{}, stopAt: -1, failedSync: -1, freeBytes: 1 << 30, segment: smallSegment}
}

// countCall counts a change or sync, and returns errStopped in the call in which
// the machine stops and in every later one.
func (d *fakeDisk) countCall() error {
	if d.stopAt >= 0 && d.ops > d.stopAt {
		return errStopped
	}
	d.ops++
	if d.ops-1 == d.stopAt {
		return errStopped
	}
	return nil
}

func (d *fakeDisk) stopped() bool { return d.stopAt >= 0 && d.ops > d.stopAt }

// change records a pending change. The change of the call in which the machine
// stops is recorded too, since it may have taken effect.
func (d *fakeDisk) change(p pending) error {
	if d.stopped() {
		return errStopped
	}
	d.pending = append(d.pending, p)
	switch {
	case p.name != "":
		applyName(d.names, p)
	default:
		p.node.visible = applyData(p.node.visible, p, 0, p.units(), false)
	}
	return d.countCall()
}

func applyName(names map[string]*inode, p pending) {
	delete(names, p.from)
	if p.node == nil {
		delete(names, p.name)
		return
	}
	names[p.name] = p.node
}

func applyData(content []byte, p pending, from, to int, zeros bool) []byte {
	if p.isTruncate {
		if to == 0 {
			return content
		}
		return content[:min(int(p.at), len(content))]
	}
	if to <= from && !zeros {
		return content
	}
	end := int(p.at) + to
	if zeros {
		end = int(p.at) + len(p.data)
	}
	content = slices.Clone(content)
	if end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[int(p.at)+from:], p.data[from:max(from, to)])
	return content
}

// makeDurable makes the matching pending changes durable.
func (d *fakeDisk) makeDurable(match func(pending) bool) {
	var rest []pending
	for _, p := range d.pending {
		switch {
		case !match(p):
			rest = append(rest, p)
		case p.name != "":
			applyName(d.durable, p)
		default:
			p.node.durable = applyData(p.node.durable, p, 0, p.units(), false)
		}
	}
	d.pending = rest
}

// sync makes the matching changes durable, or fails as failedSync says.
func (d *fakeDisk) sync(match func(pending) bool) error {
	if err := d.countCall(); err != nil {
		return err
	}
	d.syncs++
	if d.syncs-1 == d.failedSync {
		// After a failed write the kernel marks the pages as clean, so that no
		// later sync writes them.
		d.pending = slices.DeleteFunc(d.pending, func(p pending) bool { return match(p) && p.data != nil })
		return errSync
	}
	d.makeDurable(match)
	return nil
}

// crash returns the disk after a restart of the machine, with the units of the
// pending changes that survive.
func (d *fakeDisk) crash(lose loss) *fakeDisk {
	next := newDisk()
	next.segment = d.segment
	names := maps.Clone(d.durable)
	content := make(map[*inode][]byte)
	for _, node := range d.durable {
		content[node] = node.durable
	}
	for _, p := range d.pending {
		if p.node != nil {
			content[p.node] = p.node.durable
		}
	}
	for _, p := range d.pending {
		from, to, zeros := lose(p)
		switch {
		case p.name == "":
			content[p.node] = applyData(content[p.node], p, from, to, zeros)
		case to > 0:
			applyName(names, p)
		}
	}
	for name, node := range names {
		next.addFile(name, slices.Clone(content[node]))
	}
	return next
}

// addFile adds a file with durable content.
func (d *fakeDisk) addFile(name string, content []byte) {
	node := &inode{visible: content, durable: slices.Clone(content)}
	d.names[name], d.durable[name] = node, node
}

func (d *fakeDisk) file(node *inode) storer.File {
	return storer.File{
		WriteAt: func(data []byte, offset int64) (int, error) {
			if len(data) == 0 {
				return 0, nil
			}
			fits := min(d.freeBytes, len(data))
			if d.freeBytes -= fits; fits < len(data) {
				if err := d.change(pending{node: node, at: offset, data: slices.Clone(data[:fits])}); err != nil {
					return 0, err
				}
				return fits, &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
			}
			return len(data), d.change(pending{node: node, at: offset, data: slices.Clone(data)})
		},
		Truncate: func(size int64) error { return d.change(pending{node: node, at: size, isTruncate: true}) },
		Sync:     func() error { return d.sync(func(p pending) bool { return p.name == "" && p.node == node }) },
		Close:    func() error { return nil },
	}
}

func (d *fakeDisk) asDisk() *storer.Disk {
	return &storer.Disk{
		MakeFolder: func(string) error { return nil },
		Lock: func(string) (func() error, error) {
			if d.locked {
				return nil, errors.New("locked")
			}
			d.locked = true
			return func() error { d.locked = false; return nil }, nil
		},
		Names: func(string) ([]string, error) { return slices.Collect(maps.Keys(d.names)), nil },
		Read: func(path string) ([]byte, error) {
			node, ok := d.names[filepath.Base(path)]
			if !ok {
				return nil, fmt.Errorf("%s: %w", path, fs.ErrNotExist)
			}
			return slices.Clone(node.visible), nil
		},
		Create: func(path string) (storer.File, error) {
			node := &inode{}
			return d.file(node), d.change(pending{name: filepath.Base(path), node: node})
		},
		Open: func(path string) (storer.File, error) { return d.file(d.names[filepath.Base(path)]), nil },
		Rename: func(from, to string) error {
			if beforeRename := d.beforeRename; beforeRename != nil {
				d.beforeRename = nil
				beforeRename()
			}
			return d.change(pending{name: filepath.Base(to), from: filepath.Base(from), node: d.names[filepath.Base(from)]})
		},
		Remove:     func(path string) error { return d.change(pending{name: filepath.Base(path)}) },
		SyncFolder: func(string) error { return d.sync(func(p pending) bool { return p.name != "" }) },
	}
}
