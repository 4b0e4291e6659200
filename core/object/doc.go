// Package object defines the kinds of objects that the fleet keeps in the platform's object service,
// their JSON form and their validation.
//
// Every object carries a format number. A reader ignores unknown fields and refuses a format that is
// newer than the one it knows, so that two releases of the program can run side by side.
package object
