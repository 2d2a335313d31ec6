package instancelock

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	idsFileName = "dunemoor.ids"
	// idsHeaderBytes is the size of the magic bytes and the key at the start of the file.
	idsHeaderBytes = 64
	idsKeyBytes    = 16
	// idsSlots is the number of ids that the file holds. Beyond that, the oldest of a few are dropped.
	idsSlots = 1 << 17
	// idsProbes is the number of slots that an id may be in.
	idsProbes = 16
	idsBytes  = idsHeaderBytes + 8*idsSlots

	// idTick is the resolution of the times in the file, of which idTickBits bits are kept.
	idTick     = 16 * time.Millisecond
	idTickBits = 24
	idTickMask = 1<<idTickBits - 1
	// sharedIDRetention is how long an id counts as in use after its request began or ended.
	sharedIDRetention = 8 * time.Second
)

var idsMagic = []byte("dunemoor ids 1\n")

// SharedIDs is a table of the ids of recent requests in a file that several processes map into memory. It lets a process that
// takes over from another reject the id of a request that the other has had. It holds hashes, keyed by random bytes in the
// file, so that clients can't choose ids that collide. Its methods are safe for concurrent use by goroutines and processes.
// An entry that a killed process was writing is complete or absent.
type SharedIDs struct {
	key   []byte
	slots []uint64 // hash in the upper bits, time in the lower idTickBits; 0: empty
}

// OpenSharedIDs opens the table in a directory, and creates it if there is none. It stays open until the process ends.
func OpenSharedIDs(dir string) (*SharedIDs, error) {
	path := filepath.Join(dir, idsFileName)
	if err := createIDsFile(dir, path); err != nil {
		return nil, fmt.Errorf("create table of shared ids: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("open table of shared ids: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() != idsBytes {
		return nil, fmt.Errorf("open table of shared ids: %s does not have %d bytes", path, idsBytes)
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, idsBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map table of shared ids: %w", err)
	}
	if string(memory[:len(idsMagic)]) != string(idsMagic) {
		return nil, fmt.Errorf("open table of shared ids: %s is another file", path)
	}
	key := append([]byte(nil), memory[idsHeaderBytes-idsKeyBytes:idsHeaderBytes]...)
	slots := unsafe.Slice((*uint64)(unsafe.Pointer(&memory[idsHeaderBytes])), idsSlots)
	return &SharedIDs{key: key, slots: slots}, nil
}

// createIDsFile creates the file unless it exists. It appears under its name with its header and all of its blocks, so that a
// process that is killed, or a full disk, leaves no part of it.
func createIDsFile(dir, path string) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := os.CreateTemp(dir, idsFileName)
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	content := make([]byte, idsBytes)
	copy(content, idsMagic)
	rand.Read(content[idsHeaderBytes-idsKeyBytes : idsHeaderBytes]) // returns no error
	if _, err := f.Write(content); err != nil {
		return err
	}
	if err := os.Link(f.Name(), path); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// Start records the id of a request that begins. It returns false if a request with the id has begun or ended within
// sharedIDRetention.
func (s *SharedIDs) Start(id string) bool {
	tag, first := s.hash(id)
	for {
		now := currentTick()
		isUsed, slot, old := s.find(tag, first, now)
		if isUsed {
			return false
		}
		if atomic.CompareAndSwapUint64(slot, old, tag|now) {
			return true
		}
	}
}

// End records the end of a request that Start has recorded.
func (s *SharedIDs) End(id string) {
	tag, first := s.hash(id)
	now := currentTick()
	if isUsed, slot, old := s.find(tag, first, now); isUsed {
		atomic.CompareAndSwapUint64(slot, old, tag|now) // otherwise another process has replaced it
	}
}

// hash returns the upper bits of an id's hash and the index of its first slot.
func (s *SharedIDs) hash(id string) (tag uint64, first int) {
	sum := sha256.Sum256(append(append([]byte(nil), s.key...), id...))
	tag = binary.BigEndian.Uint64(sum[:8]) &^ idTickMask
	return tag, int(binary.BigEndian.Uint64(sum[8:16]) % idsSlots)
}

// find returns the slot of an id, with its content. If the id is not in use that is the first slot that is free, or the one
// with the oldest id.
func (s *SharedIDs) find(tag uint64, first int, now uint64) (isUsed bool, slot *uint64, content uint64) {
	oldestAge := uint64(0)
	for i := range idsProbes {
		candidate := &s.slots[(first+i)%idsSlots]
		word := atomic.LoadUint64(candidate)
		age := ticksSince(word, now)
		isFree := word == 0 || age > uint64(sharedIDRetention/idTick)
		if !isFree && word&^idTickMask == tag {
			return true, candidate, word
		}
		if isFree {
			age = idTickMask
		}
		if slot == nil || age > oldestAge {
			slot, content, oldestAge = candidate, word, age
		}
	}
	return false, slot, content
}

// ticksSince returns the age of an entry in ticks. An entry that another process has written after now was read has age 0.
func ticksSince(word, now uint64) uint64 {
	age := (now - word) & idTickMask
	if age > idTickMask/2 {
		return 0
	}
	return age
}

// currentTick returns the time of the monotonic clock, which all processes of a machine share, in ticks.
func currentTick() uint64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0 // can't happen: every Linux has this clock
	}
	return uint64(now.Nano()/int64(idTick)) & idTickMask
}
