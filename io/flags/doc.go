// Package flags defines the settings of each process. A setting is a command line flag; its environment variable is
// GERANIUMSADDLE_ and the flag in upper case with underscores. A flag takes precedence over its variable. All settings
// are validated before a process starts, and all faults are reported together.
package flags
