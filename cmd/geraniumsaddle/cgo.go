package main

// The platform requires executables that are linked against the system's C library. Importing "C" ensures that
// whatever the other packages import.

import "C"
