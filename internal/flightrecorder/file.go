package flightrecorder

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedBlocks is the number of blocks that wait for the disk: some 500 KB, a second of a busy gateway.
	// Further ones are lost and counted.
	maxQueuedBlocks = 32
	// reopenInterval is the time after a failure in which a file isn't opened again.
	reopenInterval = time.Second
	// rotatedSuffix is appended to the name of a full file.
	rotatedSuffix = ".1"
)

// errReopenLater is the error of blocks within reopenInterval after a failure.
var errReopenLater = errors.New("recording file failed a moment ago")

// File is a Sink that writes to a file in a goroutine of its own. A file that has reached its size is renamed
// to NAME.1, in place of an earlier one, and a new one begins: both together have at most twice the size.
type File struct {
	path     string
	maxBytes int64

	queue          chan []byte
	free           chan []byte // blocks for reuse
	wantCheckpoint atomic.Bool
	lostBlocks     atomic.Uint64
	writtenBlocks  atomic.Uint64
	lastError      atomic.Pointer[string]

	// The fields below belong to Run.
	open     func(path string) (outputFile, error)
	start    []byte // the last block of kind blockStart: each file begins with it
	file     outputFile
	size     int64
	reopenAt time.Time

	reopenAtOnce atomic.Bool // tests: reopenAt doesn't count
}

// outputFile is what File uses of an *os.File.
type outputFile interface {
	Write([]byte) (int, error)
	Close() error
}

// NewFile returns a File of at most maxBytes. An existing file is appended to. Its owner must call Run.
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

// Put implements Sink: it queues a copy of the block, or drops it where the queue is full.
func (f *File) Put(block []byte) (accepted, wantCheckpoint bool) {
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
	return accepted, f.wantCheckpoint.Swap(false)
}

// recycle keeps a block for reuse.
func (f *File) recycle(b []byte) {
	select {
	case f.free <- b:
	default:
	}
}

// Stats returns the number of blocks written and lost, and the text of the last error; "": there was none.
func (f *File) Stats() (written, lost uint64, lastError string) {
	if p := f.lastError.Load(); p != nil {
		lastError = *p
	}
	return f.writtenBlocks.Load(), f.lostBlocks.Load(), lastError
}

// Run writes blocks until ctx ends, and then those that are queued. It closes the file.
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

// write writes one block. A failure may leave a part of it in the file; readers skip that.
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

// fail accounts for a block that is lost.
func (f *File) fail(err error) {
	f.lostBlocks.Add(1)
	f.wantCheckpoint.Store(true)
	if errors.Is(err, errReopenLater) {
		return
	}
	text := err.Error()
	f.lastError.Store(&text)
	f.close()
	f.reopenAt = time.Now().Add(reopenInterval)
}

// prepare makes sure that a file is open and has room for size bytes. A new file begins with the start of the
// session, unless that is what is to be written.
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

// rotate renames the open file where it has no room for size bytes. An empty file has room for any block.
func (f *File) rotate(size int) error {
	if f.file == nil || f.size == 0 || f.size+int64(size) <= f.maxBytes {
		return nil
	}
	f.close()
	if err := os.Rename(f.path, f.path+rotatedSuffix); err != nil {
		return err
	}
	f.wantCheckpoint.Store(true)
	return nil
}
