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

// maxResponseBytes limits how much of a response is read. It leaves ample room for
// the configuration document, which has at most 1 MB.
const maxResponseBytes = 64 << 20

// errUnreachable reports that no connection was made, so no statement was run.
var errUnreachable = errors.New("node cannot be reached; nothing was run")

// send posts the statements once, without retries, and decodes the answer. After any
// error other than errUnreachable, the outcome is unknown: the node may have run the
// statements.
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
	response, err := newHTTPClient().Do(request)
	if err != nil {
		return answer, classifyError(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer); err != nil || answer.Outcome == "" {
		return answer, fmt.Errorf("outcome unknown: the answer with status %d is not that of an entry node", response.StatusCode)
	}
	return answer, nil
}

// newHTTPClient returns a client that uses no proxy and follows no redirects, so that
// statements are sent only to the node given by the user.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{Proxy: nil},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// classifyError distinguishes a failed connection attempt, after which nothing was
// run, from a lost response, after which the outcome is unknown.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" || strings.Contains(err.Error(), "unsupported protocol scheme") {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return fmt.Errorf("outcome unknown: %w", err)
}
