package loader

import "time"

// DefaultRouter returns the settings of a router whose file names none.
func DefaultRouter() Router {
	return Router{
		Limits: Limits{
			MaxHeaderBytes:  16 << 10,
			MaxBodyBytes:    4 << 20,
			MaxPendingBytes: 1 << 20,
			MaxConnections:  20_000,
			ReadTimeout:     30 * time.Second,
			IdleTimeout:     2 * time.Minute,
		},
		BalancerLag: 5 * time.Second,
		DrainLimit:  10 * time.Minute,
		Platform:    PlatformClient{Interface: InterfaceStore, Timeout: 2 * time.Second},
		Retries:     Retries{Ratio: 0.1, Extra: 10, Window: 10 * time.Second},
		Control:     Control{BytesPerSecond: 64 << 10},
		Metrics:     Metrics{Accounts: 64},
		Log:         Log{Level: "info"},
	}
}

// DefaultPlatform returns the settings of a platform stand-in whose file names
// none.
func DefaultPlatform() Platform {
	return Platform{VMListLag: 3 * time.Second, Log: Log{Level: "info"}}
}

// DefaultWorker returns the settings of a worker stand-in whose file names
// none.
func DefaultWorker() Worker {
	return Worker{
		Slots:             8,
		PrefillPerToken:   20 * time.Microsecond,
		StepTime:          4 * time.Millisecond,
		StepTimePerStream: 250 * time.Microsecond,
		CacheTokens:       8192,
		LoadLag:           500 * time.Millisecond,
		CacheLag:          500 * time.Millisecond,
		ResumeGrace:       5 * time.Second,
		ChecksFence:       true,
		Seed:              1,
		Log:               Log{Level: "info"},
	}
}

// DefaultService returns the settings of a service stand-in whose file names
// none.
func DefaultService() Service {
	return Service{
		Slots:       16,
		TimePerCall: 5 * time.Millisecond,
		LoadLag:     500 * time.Millisecond,
		Seed:        1,
		Log:         Log{Level: "info"},
	}
}
