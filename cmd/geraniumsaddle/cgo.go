package main

// The platform runs programs that are linked to the system's C library. This import makes the linker do so whatever
// the other packages use.

import "C"
