package flightrecorder

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedBlocks is the maximum number of blocks queued for the disk: about 500 KB, which a busy gateway
	// records in a second. Further blocks are dropped and counted.
	maxQueuedBlocks = 32
	// reopenInterval is the time for which a file isn't reopened after a failure.
	reopenInterval = time.Second
	// rotatedSuffix is appended to the name of a full file.
	rotatedSuffix = ".1"
)

// errReopenLater is the error for blocks that are dropped during reopenInterval after a failure.
var errReopenLater = errors.New("recording file is not reopened yet after a failure")

// File is a Sink that writes to a file in its own goroutine, which calls Run. A file that has reached its maximum
// size is renamed to NAME.1, replacing an earlier one, and a new file is started: both together take at most about
// twice the maximum size.
type File struct {
	path     string
	maxBytes int64

	queue          chan []byte
	free           chan []byte // buffers for reuse
	needCheckpoint atomic.Bool // the next Put requests a checkpoint
	lostBlocks     atomic.Uint64
	writtenBlocks  atomic.Uint64
	lastError      atomic.Pointer[string]

	// Only Run uses the fields below.
	open     func(path string) (outputFile, error)
	start    []byte     // the last block of kind blockStart: each file begins with it
	file     outputFile // nil: not open
	size     int64      // size of file in bytes
	reopenAt time.Time  // time before which file isn't opened again after a failure

	reopenAtOnce atomic.Bool // set by tests: reopenAt is ignored
}

// outputFile is the part of *os.File that File uses.
type outputFile interface {
	Write([]byte) (int, error)
	Close() error
}

// NewFile returns a File with a maximum size of maxBytes. An existing file is appended to. The caller must call Run.
func NewFile(path string, maxBytes int64) *File {
	return &File{
		path:     path,
		maxBytes: maxBytes,
		open:     openForAppend,
		queue:    make(chan []byte, maxQueuedBlocks),
		free:     make(chan []byte, maxQueuedBlocks),
	}
}

func openForAppend(path string) (outputFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Put implements Sink: it queues a copy of the block, or drops the block if the queue is full.
func (f *File) Put(block []byte) (accepted, needCheckpoint bool) {
	var b []byte
	select {
	case b = <-f.free:
	default:
	}
	b = append(b[:0], block...)
	select {
	case f.queue <- b:
		accepted = true
	default:
		f.lostBlocks.Add(1)
		f.recycle(b)
	}
	return accepted, f.needCheckpoint.Swap(false)
}

// recycle keeps the buffer of a block for reuse.
func (f *File) recycle(b []byte) {
	select {
	case f.free <- b:
	default:
	}
}

// Stats returns the number of blocks written and lost, and the text of the last error, which is empty if there was
// none.
func (f *File) Stats() (written, lost uint64, lastError string) {
	if p := f.lastError.Load(); p != nil {
		lastError = *p
	}
	return f.writtenBlocks.Load(), f.lostBlocks.Load(), lastError
}

// Run writes blocks until ctx is done, and then those still queued. It closes the file.
func (f *File) Run(ctx context.Context) {
	for {
		select {
		case b := <-f.queue:
			f.write(b)
		case <-ctx.Done():
			f.drain()
			f.close()
			return
		}
	}
}

// drain writes the blocks that are queued.
func (f *File) drain() {
	for {
		select {
		case b := <-f.queue:
			f.write(b)
		default:
			return
		}
	}
}

func (f *File) close() {
	if f.file != nil {
		f.file.Close()
		f.file = nil
	}
}

// write writes one block. A failure may leave a partial block in the file, which readers skip.
func (f *File) write(b []byte) {
	defer f.recycle(b)
	var h header
	isStart := h.decode(b) && h.kind == blockStart
	if isStart {
		f.start = append(f.start[:0], b...)
	}
	err := f.prepare(len(b), isStart)
	if err == nil {
		err = f.append(b)
	}
	if err != nil {
		f.fail(err)
		return
	}
	f.writtenBlocks.Add(1)
}

// append writes to the open file.
func (f *File) append(b []byte) error {
	n, err := f.file.Write(b)
	f.size += int64(n)
	return err
}

// fail counts a lost block, and closes the file unless the block was dropped for errReopenLater.
func (f *File) fail(err error) {
	f.lostBlocks.Add(1)
	f.needCheckpoint.Store(true)
	if errors.Is(err, errReopenLater) {
		return
	}
	text := err.Error()
	f.lastError.Store(&text)
	f.close()
	f.reopenAt = time.Now().Add(reopenInterval)
}

// prepare ensures that a file is open, and first rotates an open file that has no space for size bytes. A file that it
// opens continues with the start block of the session, unless that is the block to be written.
func (f *File) prepare(size int, isStart bool) error {
	if err := f.rotate(size); err != nil {
		return err
	}
	if f.file != nil {
		return nil
	}
	if time.Now().Before(f.reopenAt) && !f.reopenAtOnce.Load() {
		return errReopenLater
	}
	file, err := f.open(f.path)
	if err != nil {
		return err
	}
	f.file = file
	f.size = 0
	if info, err := os.Stat(f.path); err == nil && info.Mode().IsRegular() {
		f.size = info.Size()
	}
	if isStart || len(f.start) == 0 {
		return nil
	}
	return f.append(f.start)
}

// rotate renames the open file if it has no space for size bytes. An empty file accepts a block of any size.
func (f *File) rotate(size int) error {
	if f.file == nil || f.size == 0 || f.size+int64(size) <= f.maxBytes {
		return nil
	}
	f.close()
	if err := os.Rename(f.path, f.path+rotatedSuffix); err != nil {
		return err
	}
	f.needCheckpoint.Store(true)
	return nil
}
