package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is the interface to the file system. Tests replace its functions to make
// writes fail, tear or get lost.
type Disk struct {
	// MakeFolder creates a folder and its missing parents, and syncs them.
	MakeFolder func(path string) error
	// Lock takes an exclusive lock on a file, which it creates if it is missing.
	// It fails if another process holds the lock.
	Lock func(path string) (unlock func() error, err error)
	// Names lists the files of a folder.
	Names func(folder string) ([]string, error)
	// Read returns the content of a file.
	Read func(path string) ([]byte, error)
	// Create opens an empty file for writing.
	Create func(path string) (File, error)
	// Open opens an existing file for writing.
	Open   func(path string) (File, error)
	Rename func(from, to string) error
	Remove func(path string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder
	// durable.
	SyncFolder func(path string) error
}

// File is an open file of a Disk.
type File struct {
	WriteAt  func(data []byte, offset int64) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// SystemDisk returns the operating system's file system.
func SystemDisk() Disk {
	return Disk{
		MakeFolder: makeFolder,
		Lock:       lockFile,
		Names:      fileNames,
		Read:       os.ReadFile,
		Create: func(path string) (File, error) {
			return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
		},
		Open: func(path string) (File, error) {
			return openFile(path, os.O_WRONLY)
		},
		Rename:     os.Rename,
		Remove:     os.Remove,
		SyncFolder: syncFolder,
	}
}

func openFile(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return File{}, err
	}
	return File{
		WriteAt:  file.WriteAt,
		Truncate: file.Truncate,
		Sync:     file.Sync,
		Close:    file.Close,
	}, nil
}

func makeFolder(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return err
	}
	var missing []string
	for at := path; ; at = filepath.Dir(at) {
		_, err := os.Stat(at)
		if err == nil {
			break
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		missing = append(missing, at)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	for _, folder := range missing {
		if err := syncFolder(filepath.Dir(folder)); err != nil {
			return err
		}
	}
	return nil
}

func lockFile(path string) (func() error, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s is locked by another process", path)
		}
		return nil, err
	}
	return file.Close, nil
}

func fileNames(folder string) ([]string, error) {
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

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	return errors.Join(err, folder.Close())
}
