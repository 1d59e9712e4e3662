package router

import (
	"context"
	"time"
)

// shutdownMargin is how long before the end of the drain limit the remaining requests are
// aborted, so that their callers still get an answer before the platform kills the process.
const shutdownMargin = 400 * time.Millisecond

// Shutdown marks the router not ready, keeps serving until the load balancer has noticed,
// finishes the requests in progress and stops. Requests that remain shortly before the
// platform kills the process are aborted.
func (h *Hosted) Shutdown(ctx context.Context) error {
	start := h.clock.Now()
	h.draining.Store(true)
	h.callers.DisableKeepAlive()
	h.log.WithField(eventField, "draining").WithField("inProgress", h.inProgress.Load()).Info("not ready; waiting for the load balancer to notice")
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

// finishRequests waits for the requests in progress to finish. When ctx ends it aborts the
// remaining ones and gives them time to answer their callers.
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

// withdraw removes this router's directory entry. If it fails, the other routers still notice
// that no more messages arrive.
func (h *Hosted) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := h.cfg.Directory.Withdraw(ctx, string(h.self)); err != nil {
		h.log.WithField(eventField, "withdraw").WithError(err).Info("directory entry not removed")
	}
}
