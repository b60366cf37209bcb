package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/baobabsail/baobabsail/entry/operatorhttp"
)

// maxAnswerBytes bounds the part of an answer that is read. The document has at
// most 1 MB.
const maxAnswerBytes = 64 << 20

// errUnreachable means that no connection was made: nothing was run.
var errUnreachable = errors.New("node cannot be reached; nothing was run")

// send posts statements once and decodes the answer. Any error but
// errUnreachable leaves the outcome unknown.
func (c *execCommand) send(ctx context.Context, text string) (operatorhttp.Answer, error) {
	var answer operatorhttp.Answer
	body, err := json.Marshal(operatorhttp.Request{Text: text, Who: c.Who, Why: c.Why, ExpectedRevision: c.Expect})
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	url := strings.TrimRight(c.Server, "/") + "/v1/statements"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := newHTTPClient().Do(request)
	if err != nil {
		return answer, classify(err)
	}
	defer reply.Body.Close()
	if err := json.NewDecoder(io.LimitReader(reply.Body, maxAnswerBytes)).Decode(&answer); err != nil || answer.Outcome == "" {
		return answer, fmt.Errorf("outcome unknown: the answer with status %d is not that of an entry node", reply.StatusCode)
	}
	return answer, nil
}

// newHTTPClient returns a client without proxy and redirects: a statement goes
// to the named node and nowhere else.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{Proxy: nil},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// classify tells a failed connection attempt from an answer that was lost.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || strings.Contains(err.Error(), "unsupported protocol scheme") {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return fmt.Errorf("outcome unknown: %w", err)
}
