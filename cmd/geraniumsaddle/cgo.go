package main

// The platform requires executables that are linked against the system's C library. Importing "C" ensures that
// whatever the other packages import.

/*
#include <signal.h>

// Ignores SIGHUP until package life subscribes to it, before the settings are read. Go's runtime leaves an ignored SIGHUP
// ignored, but would end the process at one that isn't. The dynamic loader calls functions in the preinit array before all
// other constructors.
static void ignore_hangup(void)
{
	signal(SIGHUP, SIG_IGN);
}

__attribute__((section(".preinit_array"), used))
static void (*const ignore_hangup_at_start)(void) = ignore_hangup;
*/
import "C"
