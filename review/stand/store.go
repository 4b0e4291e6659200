//go:build review

package main

import (
	"net/http"

	"geraniumsaddle/platform/fakes"
)

// pageSize is the number of entries on a page of the store.
const pageSize = 500

// runStore serves the project's own stand-in of the platform's store at an address.
func runStore(args []string) error {
	return http.ListenAndServe(args[0], fakes.NewStore(pageSize))
}
