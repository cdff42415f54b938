package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"unsafe"

	"golang.org/x/sys/unix"
)

const fileSuffix = ".ids"

// Open returns the table in the file name.ids in folder, which it makes if there is none. If folder is empty or the file can't be used, the table is not
// shared, and the error tells why.
func Open(folder, name string) (*Table, error) {
	if folder == "" {
		return New(), nil
	}
	file, err := os.OpenFile(filepath.Join(folder, name+fileSuffix), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return New(), err
	}
	defer file.Close()
	if err := fill(file); err != nil {
		return New(), err
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return New(), fmt.Errorf("requestids: map %s: %w", file.Name(), err)
	}
	words := unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(memory))), slots)
	return &Table{words: words, unmap: func() { _ = unix.Munmap(memory) }}, nil
}

// fill writes zeros up to the size of a table, so that each of its pages exists: a page that the file system has no space for would end the process when
// it is used.
func fill(file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	missing := tableBytes - info.Size()
	if missing <= 0 {
		return nil
	}
	_, err = file.WriteAt(make([]byte, missing), info.Size())
	return err
}
