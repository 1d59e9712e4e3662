// Package router runs one router of the fleet: it connects the packages that a request
// passes through and owns the goroutines.
//
// A single goroutine, the control goroutine, owns all control state. Each request has its
// own goroutine, which handles the traffic of the request and exchanges typed events and
// actions with the control goroutine.
//
// # Usage
//
//	r := router.New(router.Config{Settings: settings, Store: store, Clock: clock, Log: log})
//	err := r.Start()
//	...
//	err = r.Shutdown(ctx) // finishes the requests in progress
package router

const (
	// eventField is the log field that names the event, upstreamField the one that names the
	// upstream concerned, rowVersionField the version of a row or table of the platform's store.
	eventField      = "event"
	upstreamField   = "upstream"
	rowVersionField = "rowVersion"
)
