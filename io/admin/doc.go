// Package admin implements the HTTP administration API and its client.
//
// Changes are conditional updates of objects on the platform. A change succeeds only if the platform confirms it.
// An audit record is written before each change and updated with the result after it.
package admin
