package entry

import (
	"net/http"

	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// guards keeps the connections of the listeners within the limits of the process.
type guards struct {
	limits                    connlimit.ProcessLimits
	callers, operators, peers *connguard.Guard
}

func newGuards(s settings.Limits, counts *telemetry.Counts) guards {
	limits := connlimit.ForProcess(int64(s.Memory), int(s.Descriptors))
	request := func() connguard.RequestLimits {
		return connguard.RequestLimits{
			HeadBytes: int(s.MaxHeaderBytes), HeadTimeout: s.ReadTimeout.Std(), IdleTimeout: idleTimeout,
		}
	}
	return guards{
		limits:    limits,
		callers:   connguard.New(connguard.Config{Limits: limits.Callers, Request: request, Counts: counts}),
		operators: connguard.New(connguard.Config{Limits: limits.Operators, Request: request, Counts: counts}),
		peers:     connguard.New(connguard.Config{Limits: limits.Peers, Counts: counts}),
	}
}

func (e *Entry) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: connguard.Handler(handler, connguard.JSONCost),
		// ReadTimeout covers reading header and body. net/http removes the deadline while
		// the handler runs.
		ReadTimeout:    e.settings.Limits.ReadTimeout.Std(),
		MaxHeaderBytes: int(e.settings.Limits.MaxHeaderBytes),
		IdleTimeout:    idleTimeout,
	}
}
