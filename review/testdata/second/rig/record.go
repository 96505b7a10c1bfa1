package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes lines with the time since its start to the record of a case.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Close closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}
