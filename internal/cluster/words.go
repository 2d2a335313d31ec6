package cluster

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

// wordsName is the file with the operators' words as they were last known: one that starts while
// nobody can be asked goes on by them, whether or not it keeps the record.
const (
	wordsName = "words.json"
	wordsNew  = "words.new"
)

// readWords reads them. A file that can't be read is said, and is as none: the fleet tells them.
func (f *Fleet) readWords() (w node.OverrideSet) {
	b, err := f.dir.Read(wordsName)
	if errors.Is(err, fs.ErrNotExist) || failpoint.Enabled(failpoint.ForgetOverrides) {
		return w
	}
	if err == nil {
		err = json.Unmarshal(b, &w)
	}
	if err != nil {
		slog.Warn("the operators' words can't be read, until the fleet tells them hosts are as listed", "file", wordsName, "err", err)
		return node.OverrideSet{}
	}
	return w
}

// keepWords writes them whenever they have changed, beside the loop, which waits for no disk. The
// last of several that come together is enough.
func (f *Fleet) keepWords() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case w := <-f.said:
			if err := f.writeWords(w); err != nil {
				slog.Error("the operators' words can't be kept, a restart may forget them until the fleet tells them", "err", err)
			}
		}
	}
}

func (f *Fleet) writeWords(w *node.OverrideSet) error {
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	if err := f.dir.Remove(wordsNew); err != nil {
		return err
	}
	file, err := f.dir.Create(wordsNew)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := f.dir.Rename(wordsNew, wordsName); err != nil {
		return err
	}
	return f.dir.Sync()
}

// hearWords takes over the words as they are now.
func (f *Fleet) hearWords(w *node.OverrideSet) {
	f.words.Store(w)
	select {
	case <-f.said: // an older one that waits
	default:
	}
	f.said <- w
	if tell := f.OnWords; tell != nil {
		tell(w)
	}
}

// Words are the operators' words as they are known here.
func (f *Fleet) Words() *node.OverrideSet { return f.words.Load() }
