package storage

import (
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// temporarySuffix is the suffix of the name of a file that is not yet complete.
const temporarySuffix = ".tmp"

// SaveValue writes a value, encoded as CBOR with a checksum, to a file and replaces the
// file's old value. When it returns nil, the new value is durable; after an error or a
// crash the file holds either the old value or the new one.
func SaveValue(files FS, name string, value any) error {
	payload, err := codec.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > maxRecordBytes {
		return errors.Newf("the value for %s has %d bytes, which is above the maximum of %d; reduce the stored state", name, len(payload), maxRecordBytes)
	}
	return writeDurably(files, name, appendRecord(nil, payload, 0))
}

// writeDurably writes or replaces a file. The content must be synced before the rename,
// so that the name never refers to an incomplete file, and the folder must be synced
// before writeDurably returns.
func writeDurably(files FS, name string, content []byte) error {
	if err := writeTemporary(files, name, content); err != nil {
		return err
	}
	return publishTemporary(files, name)
}

// writeTemporary writes and syncs the content of a file under its temporary name.
func writeTemporary(files FS, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Wrapf(err, "create %s; check the data folder's permissions", temporary)
	}
	if err := writeAndSync(file, content); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s; check the disk and its free space", temporary)
	}
	return errors.Wrapf(file.Close(), "close %s; check the disk", temporary)
}

// publishTemporary gives a file that writeTemporary has written its name. After an error,
// either file may have the name after a crash.
func publishTemporary(files FS, name string) error {
	temporary := name + temporarySuffix
	if err := files.Rename(temporary, name); err != nil {
		return errors.Wrapf(err, "rename %s; check the data folder's permissions", temporary)
	}
	return errors.Wrap(files.SyncDir(filepath.Dir(name)), "sync the data folder; check the disk")
}

func writeAndSync(file File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

// LoadValue reads a value that SaveValue stored; found is false if there is no such
// file. It fails with a [CorruptionError] if the content is not valid.
func LoadValue(files FS, name string, value any) (found bool, err error) {
	data, err := files.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrapf(err, "read %s; check the disk", name)
	}
	read, ok := readRecord(data)
	if !ok || read.size != len(data) {
		return false, &CorruptionError{File: name, Reason: "the content does not match its length or checksum"}
	}
	if err := codec.Unmarshal(read.payload, value); err != nil {
		return false, &CorruptionError{File: name, Offset: recordHeaderBytes, Reason: err.Error()}
	}
	return true, nil
}
