package seeds

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/settings"
)

// Config configures a Source.
type Config struct {
	// Path is the path of the settings file.
	Path string
	// Seeds are the message addresses that the file named when the process started.
	Seeds []string
	// Read returns the seeds in the settings.
	Read func(s *settings.Settings) []string
	// Log gets a line for each reload.
	Log *logrus.Entry
}

// Source implements figpier.SeedSource. It reloads the settings file on SIGHUP, and in Seeds if the file's modification time
// changed.
type Source struct {
	config Config

	mu       sync.Mutex // guards the fields below
	seeds    []string
	modified time.Time // modification time of the file at the last reload
}

// New returns a source with the seeds in the config. It does not read the file.
func New(c Config) *Source {
	s := &Source{config: c, seeds: c.Seeds}
	s.modified = s.modificationTime()
	return s
}

// Name implements figpier.Service.
func (s *Source) Name() figpier.ServiceName { return figpier.SeedService }

// Start implements figpier.Service. The goroutine that waits for signals ends with ctx.
func (s *Source) Start(ctx context.Context, _ figpier.Directory) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				s.reload("signal")
			}
		}
	}()
	return nil
}

// Stop implements figpier.Service.
func (s *Source) Stop(context.Context) error { return nil }

// Seeds implements figpier.SeedSource. It reloads the file first if the file has changed.
func (s *Source) Seeds() []string {
	s.mu.Lock()
	changed := !s.modificationTime().Equal(s.modified)
	s.mu.Unlock()
	if changed {
		s.reload("the file has changed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seeds
}

// modificationTime returns the modification time of the file, zero if it can't be determined.
func (s *Source) modificationTime() time.Time {
	info, err := os.Stat(s.config.Path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the seeds from the file. If the file can't be read or is invalid, it keeps the current seeds.
func (s *Source) reload(cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modified = s.modificationTime()
	log := s.config.Log.WithField("cause", cause)
	loaded, err := settings.Read(s.config.Path)
	if err != nil {
		log.WithError(err).Warn("cannot reload the settings: keeping the current seeds")
		return
	}
	seeds := s.config.Read(loaded)
	if len(seeds) == 0 {
		log.Warn("the settings name no seeds: keeping the current ones")
		return
	}
	s.seeds = seeds
	log.WithField("seeds", s.seeds).Info("reloaded the seeds")
}
