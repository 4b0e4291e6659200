// Package object defines the kinds of objects that are stored in the platform's object service, their JSON form and
// their validation.
//
// Every object carries a format number. A reader ignores unknown fields and rejects a format that is newer than the one
// it supports, so that two releases of the program can run side by side.
package object
