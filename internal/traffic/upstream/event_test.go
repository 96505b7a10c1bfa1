package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// TestAnnouncementOrder guards against an announcement of another writer, or a late one, that takes the place of the backend server's own
// and undoes a drain that was acknowledged.
func TestAnnouncementOrder(t *testing.T) {
	announcement := func(incarnation string, startedSeconds int64, sequence uint64) figpier.Announcement {
		c := figpier.AnnouncementConfig{Incarnation: incarnation, Sequence: sequence}
		if startedSeconds > 0 {
			c.Started = time.Unix(startedSeconds, 0)
		}
		return figpier.NewAnnouncement(c)
	}
	newest := announcement("a", 1000, 7)
	for name, c := range map[string]struct {
		next     figpier.Announcement
		newest   figpier.Announcement
		outdated bool
	}{
		"next of the same run":              {announcement("a", 1000, 8), newest, false},
		"late of the same run":              {announcement("a", 1000, 6), newest, true},
		"same name, started again":          {announcement("a", 2000, 1), newest, false},
		"same name, of an earlier run":      {announcement("a", 500, 9), newest, true},
		"same name, without a start":        {announcement("a", 0, 9), newest, true},
		"another name, without a start":     {announcement("b", 0, 9), newest, true},
		"another name, started later":       {announcement("b", 2000, 1), newest, false},
		"no starts, another name":           {announcement("b", 0, 1), announcement("a", 0, 7), false},
		"no starts, next of the same run":   {announcement("a", 0, 8), announcement("a", 0, 7), false},
		"a start after one without a start": {announcement("a", 2000, 1), announcement("a", 0, 7), false},
	} {
		assert.Equal(t, outdated(c.next, c.newest), c.outdated, name)
	}
}
