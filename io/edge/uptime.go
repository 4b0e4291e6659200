package edge

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"geraniumsaddle/core/quota"
)

// UptimeClock tells the time since the VM was booted, including the time in which the VM was suspended.
type UptimeClock interface {
	Now() quota.Uptime
}

// bootFile names the present boot of the VM.
const bootFile = "/proc/sys/kernel/random/boot_id"

// BootClock is the clock of the kernel.
type BootClock struct {
	boot string
}

// NewBootClock returns the kernel's clock. Without a name of the boot, its times cannot be compared with those of
// other processes.
func NewBootClock() *BootClock {
	b, err := os.ReadFile(bootFile)
	if err != nil {
		return &BootClock{}
	}
	return &BootClock{boot: strings.TrimSpace(string(b))}
}

// Now returns the present uptime.
func (c *BootClock) Now() quota.Uptime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The clock exists in every supported kernel.
	}
	return quota.Uptime{Boot: c.boot, Time: time.Duration(ts.Nano())}
}
