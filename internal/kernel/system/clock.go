package system

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart anchors the values of Clock.Now.
var processStart = timeReference{timeOfDay: time.Now().Round(0), boot: timeSinceBoot()}

// timeReference is a time of day, without monotonic reading, and the time since boot at the same moment.
type timeReference struct {
	timeOfDay time.Time
	boot      time.Duration
}

// Clock implements figpier.Clock with the system clock. Its time advances while the instance is suspended and ignores
// changes to the time of day. The monotonic readings of package time stop during a suspend, so that a lease measured with
// them would not expire.
type Clock struct{}

// Now implements figpier.Clock. The result has no monotonic reading.
func (Clock) Now() time.Time { return processStart.timeOfDay.Add(timeSinceBoot() - processStart.boot) }

// AfterFunc implements figpier.Clock.
func (Clock) AfterFunc(d time.Duration, f func()) (cancel func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// timeSinceBoot returns the time since boot including suspends. Where the operating system has no such clock, it returns
// the monotonic time since the start of the process.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(monotonicStart)
	}
	return time.Duration(t.Nano())
}

// monotonicStart is the reference where the operating system has no CLOCK_BOOTTIME.
var monotonicStart = time.Now()
