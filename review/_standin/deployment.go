package main

import (
	"fmt"
	"net/http"
	"time"
)

// A deployment of the size of the sheet's: 8 routers, 9 model workers, 4 desk workers.
const (
	routerCount     = 8
	modelWorkers    = 9
	deskWorkers     = 4
	modelSlots      = 128
	deskSlots       = 6
	modelService    = "lentil-models"
	deskService     = "order-desk"
	host            = "gerincjel.example"
	reconPath       = "/recon/"
	translitPath    = "/translit/"
	shelfPath       = "/shelf/"
	commitPath      = "/commit/"
	lookupPath      = "/lookup/"
	eventInterval   = 60 * time.Millisecond
	firstEventDelay = 30 * time.Millisecond
	// The requests of the sheet, a second: resumable reconciliations, transliterations that
	// must not be repeated, and resumable shelf checks.
	reconPerS, translitPerS, shelfPerS = 63.8, 95.9, 107.0
)

// sheetRoutes returns the routes of the sheet.
func sheetRoutes() []map[string]any {
	route := func(name, prefix, kind string, timeout, aim, attempts int, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeout, "sloMs": aim, "priority": 1,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false,
		}
	}
	recon := route("recon", reconPath, "streaming", 15000, 500, 2, modelService)
	shelf := route("shelf", shelfPath, "streaming", 3000, 300, 2, modelService)
	recon["resumable"], shelf["resumable"] = true, true
	return []map[string]any{
		recon, shelf,
		route("translit", translitPath, "streaming", 12000, 300, 1, modelService),
		route("commit", commitPath, "non_idempotent", 1000, 100, 1, deskService),
		route("lookup", lookupPath, "idempotent", 1000, 100, 2, deskService),
	}
}

func sheetServices() []map[string]any {
	return []map[string]any{
		{
			"name": modelService, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": modelSlots, "kvCapacity": 814108, "models": []map[string]any{{"name": "m"}}},
		},
		{"name": deskService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
	}
}

type serveFunc = func(w *worker, c *workerConn, r *http.Request, body []byte) bool

// startDeployment starts the sheet's deployment.
func (f *fleet) startDeployment(routers int, model, desk serveFunc) error {
	f.configure(sheetRoutes(), sheetServices())
	for i := range modelWorkers {
		w := &worker{service: modelService, id: fmt.Sprintf("i-model-%d", i+1), slots: modelSlots, serve: model}
		if err := f.addWorker(w); err != nil {
			return err
		}
	}
	for i := range deskWorkers {
		w := &worker{service: deskService, id: fmt.Sprintf("i-desk-%d", i+1), slots: deskSlots, serve: desk}
		if err := f.addWorker(w); err != nil {
			return err
		}
	}
	return f.startRouters(routers)
}

// chunkedStream answers with a stream of events in chunks, after the last event that the
// client has.
func chunkedStream(w *worker, c *workerConn, r *http.Request, events int) bool {
	id := attemptID(r)
	time.Sleep(firstEventDelay)
	if !writeText(c, streamHead(w, id, "Transfer-Encoding: chunked\r\n")) {
		return false
	}
	for n := lastEventID(r) + 1; n <= events; n++ {
		if !writeText(c, chunk(event(n, id))) {
			return false
		}
		time.Sleep(eventInterval)
	}
	return writeText(c, "0\r\n\r\n")
}

func streamRequest(path string, deadline time.Duration) request {
	id := newID()
	return request{
		id: id, method: http.MethodPost, path: path + "2f", host: host, deadline: deadline,
		prefix: "5c1e07a2:64,91bd3f06:64," + id[8:] + ":64", tokens: "192,80", body: "{}",
	}
}

// sheetRequest returns the n-th request, of a route in the proportions of the sheet.
func sheetRequest(n int) request {
	const total = reconPerS + translitPerS + shelfPerS
	draw := float64((n*7919)%1000) / 1000 * total
	switch {
	case draw < reconPerS:
		return streamRequest(reconPath, 15*time.Second)
	case draw < reconPerS+translitPerS:
		return streamRequest(translitPath, 12*time.Second)
	}
	return streamRequest(shelfPath, 3*time.Second)
}
