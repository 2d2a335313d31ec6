package flightrecorder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	// queueMost is how many blocks may wait for the disk, some 500 KB: a second of a busy
	// gateway. Beyond it blocks are lost and counted; nobody waits.
	queueMost = 32
	// retryEvery is how long a file that could not be written is left alone.
	retryEvery = time.Second
)

// File is a Sink that writes to a file in a goroutine of its own. When the file has
// reached its size it is renamed to NAME.1, in the place of the one before, and a new one
// begun; so there are twice that many bytes at most.
type File struct {
	path  string
	most  int64
	queue chan []byte
	free  chan []byte
	anew  atomic.Bool // the next block should be a checkpoint
	lost  atomic.Uint64
	wrote atomic.Uint64
	last  atomic.Pointer[string] // the last error, for those who ask

	open  func(path string) (file, error)
	start []byte // the block that each file begins with
	f     file
	size  int64
	until time.Time // not opened again before

	mended atomic.Bool // tests: until is past
}

// file is what File needs of an *os.File.
type file interface {
	Write([]byte) (int, error)
	Close() error
}

// NewFile returns a File of at most size bytes; Run must be called. A recording that is
// there already is added to.
func NewFile(path string, size int64) *File {
	return &File{
		path: path, most: size, open: appendTo,
		queue: make(chan []byte, queueMost), free: make(chan []byte, queueMost),
	}
}

func appendTo(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Put hands a block over if there is room for it.
func (w *File) Put(block []byte) (taken, anew bool) {
	var b []byte
	select {
	case b = <-w.free:
	default:
	}
	b = append(b[:0], block...)
	select {
	case w.queue <- b:
		taken = true
	default:
		w.lost.Add(1)
		select {
		case w.free <- b:
		default:
		}
	}
	return taken, w.anew.Swap(false)
}

// Stats says how many blocks were written and lost, and the last error if there was one.
func (w *File) Stats() (wrote, lost uint64, lastError string) {
	if p := w.last.Load(); p != nil {
		lastError = *p
	}
	return w.wrote.Load(), w.lost.Load(), lastError
}

// Run writes until ctx ends, and then what was handed over before.
func (w *File) Run(ctx context.Context) {
	for {
		select {
		case b := <-w.queue:
			w.write(b)
		case <-ctx.Done():
			for {
				select {
				case b := <-w.queue:
					w.write(b)
				default:
					if w.f != nil {
						w.f.Close()
						w.f = nil
					}
					return
				}
			}
		}
	}
}

// write writes one block, whole or not at all as far as that can be had: a reader passes
// over one that is torn.
func (w *File) write(b []byte) {
	var h head
	if h.parse(b) && h.kind == blockStart {
		w.start = append(w.start[:0], b...)
	}
	err := w.ready(b, h.kind == blockStart)
	if err == nil {
		var n int
		if n, err = w.f.Write(b); err == nil {
			w.wrote.Add(1)
		}
		w.size += int64(n)
	}
	if err != nil {
		w.lost.Add(1)
		w.anew.Store(true)
		if !errors.Is(err, errWaiting) {
			text := err.Error()
			w.last.Store(&text)
			if w.f != nil {
				w.f.Close()
				w.f = nil
			}
			w.until = time.Now().Add(retryEvery)
		}
	}
	select {
	case w.free <- b:
	default:
	}
}

var errWaiting = errors.New("flight: the file is left alone for now")

// ready makes sure of an open file with room.
func (w *File) ready(b []byte, isStart bool) error {
	if w.f != nil && w.size > 0 && w.size+int64(len(b)) > w.most {
		w.f.Close()
		w.f = nil
		if err := os.Rename(w.path, w.path+".1"); err != nil {
			return err
		}
		w.anew.Store(true)
	}
	if w.f != nil {
		return nil
	}
	if time.Now().Before(w.until) && !w.mended.Load() {
		return errWaiting
	}
	f, err := w.open(w.path)
	if err != nil {
		return err
	}
	w.f, w.size = f, 0
	if st, err := os.Stat(w.path); err == nil && st.Mode().IsRegular() {
		w.size = st.Size()
	}
	if isStart || len(w.start) == 0 {
		return nil
	}
	n, err := w.f.Write(w.start)
	w.size += int64(n)
	return err
}

// WriteDump writes a dump beside others in dir and returns its path. It is written under
// another name first, so that whoever looks there finds whole ones only.
func WriteDump(dir, name string, at time.Time, dump []byte) (string, error) {
	path := filepath.Join(dir, fmt.Sprintf("flight-%s-%s.dmf", name, at.UTC().Format("20060102T150405.000Z")))
	tmp, err := os.CreateTemp(dir, ".flight-*")
	if err != nil {
		return "", err
	}
	_, err = tmp.Write(dump)
	err = cmp.Or(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return "", err
	}
	return path, nil
}

// Trigger says when too many requests are refused. It is told of each final answer.
type Trigger struct {
	RejectedShare float64       // of the answers in a window
	Window        time.Duration // the window
	MinResponses  int           // answers in a window below which nothing is told
	MinInterval   time.Duration // least time between two times that it goes off

	from            time.Duration
	answers, turned int
	quietUntil      time.Duration
}

// ObserveResponse is told of an answer at a time that does not go back; it says whether the
// trigger goes off.
func (t *Trigger) ObserveResponse(now time.Duration, refused bool) bool {
	if t.RejectedShare <= 0 {
		return false
	}
	if now-t.from >= t.Window {
		t.from, t.answers, t.turned = now, 0, 0
	}
	t.answers++
	if refused {
		t.turned++
	}
	if t.answers < t.MinResponses || float64(t.turned) < t.RejectedShare*float64(t.answers) || now < t.quietUntil {
		return false
	}
	t.quietUntil = now + t.MinInterval
	return true
}
