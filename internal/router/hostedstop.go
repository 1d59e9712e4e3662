package router

import (
	"context"
	"time"
)

// cutMargin is how long before the platform ends the process requests in
// progress are cut off, so that their callers are told.
const shutdownMargin = 400 * time.Millisecond

// Shutdown makes the router not ready, goes on serving until the balancer has
// noticed, finishes every request in progress and stops. Requests that are
// left shortly before the platform ends the process are cut off.
func (h *Hosted) Shutdown(ctx context.Context) error {
	start := h.clock.Now()
	h.draining.Store(true)
	h.callers.DisableKeepAlive()
	h.log.WithField(eventField, "draining").WithField("inProgress", h.inProgress.Load()).Info("not ready; waiting for the balancer")
	select {
	case <-ctx.Done():
	case <-h.clock.After(h.settings.BalancerLag):
	}
	remaining := h.settings.DrainLimit - shutdownMargin - h.clock.Now().Sub(start)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := h.finishRequests(ctx)
	h.withdraw()
	h.cancelRequests()
	h.dispatcher.Close()
	h.cancelBackground()
	h.exchanger.Stop()
	h.log.WithField(eventField, "stopped").Info("router stopped")
	return err
}

// finishRequests waits for the requests in progress. Those that are left when
// ctx ends are told so before the process ends.
func (h *Hosted) finishRequests(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- h.callers.Shutdown(context.WithoutCancel(ctx)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	h.cancelRequests()
	select {
	case err := <-done:
		return err
	case <-h.clock.After(shutdownMargin / 2):
		return context.DeadlineExceeded
	}
}

// withdraw removes this router's entry. The others notice its silence as well.
func (h *Hosted) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := h.cfg.Directory.Withdraw(ctx, string(h.self)); err != nil {
		h.log.WithField(eventField, "withdraw").WithError(err).Info("own entry left behind")
	}
}
