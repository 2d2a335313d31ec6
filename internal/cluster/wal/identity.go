package wal

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Names of the file with the identity, and of its replacement while that is written.
const (
	identityFile    = "identity.json"
	newIdentityFile = "identity.new"
)

// Identity identifies a disk, which is the contents of a data directory.
type Identity struct {
	Format    int    `json:"format"`
	Fleet     string `json:"fleet"`
	Name      string `json:"name"`    // name of the gateway
	ReplicaID uint64 `json:"replica"` // random; chosen when the disk was created
	ClusterID uint64 `json:"birth"`   // random; chosen when the fleet was bootstrapped; 0 if not known yet
	Boots     uint64 `json:"boots"`   // number of times that the disk was opened
}

// newIdentity returns the identity of a new disk, with an ID from draw. The Raft library reserves the upper
// half of the IDs.
func newIdentity(fleet, name string, draw func() uint64) Identity {
	id := Identity{Format: FormatVersion, Fleet: fleet, Name: name}
	for id.ReplicaID == 0 {
		id.ReplicaID = draw() >> 1
	}
	return id
}

// readIdentity reads the identity, and checks that the disk belongs to this gateway.
func readIdentity(fs FS, fleet, name string) (id Identity, err error) {
	b, err := fs.Read(identityFile)
	if err != nil {
		return id, err
	}
	if err := json.Unmarshal(b, &id); err != nil || id.ReplicaID == 0 {
		return id, fmt.Errorf("%w: decode %s: %v", ErrCorrupt, identityFile, err)
	}
	if id.Format != FormatVersion {
		return id, &FormatError{Found: id.Format}
	}
	if id.Fleet != fleet || id.Name != name {
		return id, fmt.Errorf("%w: of %s in fleet %s", ErrForeign, id.Name, id.Fleet)
	}
	return id, nil
}

// saveIdentity makes the identity durable.
func (l *Log) saveIdentity() error {
	b, err := json.Marshal(l.id)
	if err != nil {
		return err
	}
	if err := WriteFile(l.fs, newIdentityFile, b); err != nil {
		return err
	}
	if err := l.fs.Rename(newIdentityFile, identityFile); err != nil {
		return err
	}
	return l.fs.Sync()
}

// WriteFile writes a file and syncs its contents. It replaces an existing file.
func WriteFile(fs FS, name string, b []byte) error {
	if err := fs.Remove(name); err != nil {
		return err
	}
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
