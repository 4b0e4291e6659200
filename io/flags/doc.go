// Package flags holds the settings of each process. A setting is a command line flag; its environment
// variable is GERANIUMSADDLE_ and the flag in upper case with underscores. A flag takes precedence over
// its variable. All settings are checked before a process starts, and every fault is reported at once.
package flags
