// Package router runs one router of the fleet: it wires the packages along the
// request's path together and owns the goroutines.
//
// One goroutine, the control goroutine, owns all control state. Each request
// has a goroutine of its own that carries its traffic and exchanges typed
// events and actions with the control goroutine.
//
// # Usage
//
//	r, err := router.New(router.Config{Settings: settings, Store: store, Clock: clock, Log: log})
//	err = r.Start(ctx)
//	...
//	err = r.Shutdown(ctx) // cuts off nothing in progress
package router

const (
	// eventField names the field of a log line that says what happened, upstreamField
	// the one that says at which upstream.
	eventField    = "event"
	upstreamField = "upstream"
)
