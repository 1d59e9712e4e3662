package main

import "fmt"

// Names of a day, which the platform draws.
const (
	modelService = "huvo11a"
	deskService  = "wuno96b"
	streamPrefix = "/lohu930/"
	// Streams of this prefix may not be resumed.
	translitPrefix = "/pufi791/"
	commitPrefix   = "/puxa403/"
	lookupPrefix   = "/cufi504/"
	// The prefix of the archive's route continues that of the lookups.
	archivePrefix  = "/cufi504/fi50/"
	archiveService = "zano37c"
)

// accounts is the number of tenants of the sheet.
const accounts = 16

func tenantName(i int) string { return fmt.Sprintf("hule%03d", i) }

func tenantKey(i int) string { return fmt.Sprintf("asnmgkcuyj8pjbvk%04d", i) }

// configure writes the operator's configuration.
func configure(s *store, version, slots, memoryTokens int) {
	var tenants []map[string]any
	for i := range accounts {
		tenants = append(tenants, map[string]any{"name": tenantName(i), "apiKeys": []string{tenantKey(i)}, "priority": 1})
	}
	s.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-stream", "host": host, "prefix": streamPrefix, "routeKind": "streaming", "timeoutMs": 3000, "sloMs": 300, "priority": 1,
				"service": modelService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "tpotTargetMs": 250},
			{"name": "r-translit", "host": host, "prefix": translitPrefix, "routeKind": "streaming", "timeoutMs": 12000, "sloMs": 300, "priority": 1,
				"service": modelService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "tpotTargetMs": 250},
			{"name": "r-commit", "host": host, "prefix": commitPrefix, "routeKind": "non_idempotent", "timeoutMs": 1000, "sloMs": 100, "priority": 1,
				"service": deskService, "maxAttempts": 2, "public": false},
			{"name": "r-lookup", "host": host, "prefix": lookupPrefix, "routeKind": "idempotent", "timeoutMs": 1000, "sloMs": 100, "priority": 1,
				"service": deskService, "maxAttempts": 2, "public": false},
			{"name": "r-archive", "host": host, "prefix": archivePrefix, "routeKind": "idempotent", "timeoutMs": 1000, "sloMs": 100, "priority": 1,
				"service": archiveService, "maxAttempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": modelService, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": slots, "kvCapacity": memoryTokens, "kvBytes": 18432, "models": []map[string]any{{"name": "m"}}}},
			{"name": deskService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
			{"name": archiveService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 520000,
		},
		"tenants": tenants,
	})
}
