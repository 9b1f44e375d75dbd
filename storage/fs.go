package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FS is the file system that the package uses. Tests implement it to inject faults.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names in a folder, sorted.
	ReadDir(folder string) ([]string, error)
	// Create creates an empty file and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the creations, renames and removals of files in a folder durable.
	SyncDir(folder string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
}

// Permissions of the folders and files that the package creates.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OSFS is the operating system's file system.
type OSFS struct{}

// MkdirAll creates a folder and its parents, and syncs the folder's parent.
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

// Create creates an empty file and replaces an existing one.
func (OSFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens an existing file for writing at its end.
func (OSFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames a file and replaces an existing file of the new name.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the creations, renames and removals of files in a folder durable.
func (OSFS) SyncDir(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}
