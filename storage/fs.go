package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FS is what the package needs of a file system. Tests inject faults through it.
type FS interface {
	// MkdirAll makes a folder and its parents.
	MkdirAll(folder string) error
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names in a folder, sorted.
	ReadDir(folder string) ([]string, error)
	// Create makes an empty file, in place of an existing one.
	Create(name string) (File, error)
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	// Rename renames a file, in place of an existing one.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(folder string) error
}

// File is a file that is written.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// Permissions of what the package makes.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OSFS is the operating system's file system.
type OSFS struct{}

// MkdirAll makes a folder and its parents and makes its name durable.
func (fs OSFS) MkdirAll(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(folder))
}

// ReadFile returns a file's content.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir returns the names in a folder, sorted.
func (OSFS) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Create makes an empty file, in place of an existing one.
func (OSFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file to write at its end.
func (OSFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames a file, in place of an existing one.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in a folder durable.
func (OSFS) SyncDir(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}
