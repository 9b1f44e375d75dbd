package storage

import (
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// temporarySuffix ends the name of a file that is being written.
const temporarySuffix = ".tmp"

// SaveValue stores a value, encoded as CBOR with a checksum, in place of what the
// file held. When it returns without an error, the value is durable; after an
// error or a crash the file holds the old value or the new one.
func SaveValue(files FS, name string, value any) error {
	payload, err := codec.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > maxRecordBytes {
		return errors.Newf("%s would hold %d bytes and may hold %d; reduce the stored state", name, len(payload), maxRecordBytes)
	}
	return writeDurably(files, name, appendRecord(nil, payload, 0))
}

// writeDurably writes a whole file. The order matters: the content is synced
// before the name points to it, and the name before the caller counts on it.
func writeDurably(files FS, name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Wrapf(err, "create %s; check the data folder's permissions", temporary)
	}
	if err := writeAndSync(file, content); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s; check the disk and its free space", temporary)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s; check the disk", temporary)
	}
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

// LoadValue reads what SaveValue stored into value; found is false if there is no
// such file. It fails with a [CorruptionError] if the file cannot be read.
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
		return false, &CorruptionError{File: name, Reason: "its checksum does not match"}
	}
	if err := codec.Unmarshal(read.payload, value); err != nil {
		return false, &CorruptionError{File: name, Offset: recordHeaderBytes, Reason: err.Error()}
	}
	return true, nil
}
