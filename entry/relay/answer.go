package relay

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

// This file writes the answers of the engine to callers.

// writeAnswer sends the final answer to the caller.
func (c *CallerServer) writeAnswer(w http.ResponseWriter, r *http.Request, a *forward.Answer) {
	switch {
	case a.Merged != nil:
		c.writeMerged(w, a.Merged)
	case a.Reply != nil:
		writeReply(w, r, a.Reply)
	default:
		writeLocalReply(w, a)
	}
}

func (c *CallerServer) writeMerged(w http.ResponseWriter, m *forward.Merged) {
	h := w.Header()
	h.Set(c.headers.Proofs, strings.Join(m.Proofs, ", "))
	h.Set(c.headers.Missing, strconv.Itoa(m.Missing))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(m.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(m.Body) // a caller that has disconnected is detected by its connection
}

// writeReply forwards the response of a replica unchanged, except for hop-by-hop fields.
func writeReply(w http.ResponseWriter, r *http.Request, reply *forward.Reply) {
	wire := reply.Wire.(*wireReply)
	defer wire.done()
	skipped := hopByHopHeaders(wire.header)
	h := w.Header()
	for name, values := range wire.header {
		if !skipped[name] {
			h[name] = values
		}
	}
	if r.Method != http.MethodHead && bodyAllowed(wire.status) {
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	w.WriteHeader(wire.status)
	_, _ = w.Write(reply.Body) // a caller that has disconnected is detected by its connection
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeLocalReply sends an answer that this node generated itself.
func writeLocalReply(w http.ResponseWriter, a *forward.Answer) {
	h := w.Header()
	if a.Outcome == api.NotRun && a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.Reason == api.ReasonUnknownKey {
		h.Set("WWW-Authenticate", strings.TrimSpace(bearerScheme))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(localReplyStatus(a))
	_, _ = io.WriteString(w, string(a.Reason)+"\n") // a caller that has disconnected is detected by its connection
}

func localReplyStatus(a *forward.Answer) int {
	switch {
	case a.Reason == api.ReasonUnknownRoute:
		return http.StatusNotFound
	case a.Reason == api.ReasonUnknownKey:
		return http.StatusUnauthorized
	case a.Reason == api.ReasonOverQuota:
		return http.StatusTooManyRequests
	case a.Outcome == api.NotRun:
		return http.StatusServiceUnavailable
	case a.Outcome == api.Unknown && a.Reason == api.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
