package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// callTimeout bounds one call to an admin interface.
const callTimeout = 5 * time.Second

var client = &http.Client{Timeout: callTimeout}

// postJSON posts a body and decodes the answer into a value if that is not nil.
// An answer that was decoded is no error whatever its status is.
func postJSON(ctx context.Context, url string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return ErrSystem.Wrap(err, "encode the body for %s", url)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return ErrSystem.Wrap(err, "call %s", url)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return ErrSystem.Wrap(err, "call %s", url)
	}
	defer func() { _ = answer.Body.Close() }()
	received, err := io.ReadAll(answer.Body)
	if err != nil {
		return ErrSystem.Wrap(err, "read the answer of %s", url)
	}
	if into != nil {
		if err := json.Unmarshal(received, into); err != nil {
			return ErrSystem.Wrap(err, "decode the answer of %s", url)
		}
		return nil
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return ErrSystem.New("%s: status %d: %s", url, answer.StatusCode, bytes.TrimSpace(received))
	}
	return nil
}

// getStatus reports whether a GET is answered with status 200.
func getStatus(ctx context.Context, url string) error {
	body, err := get(ctx, url)
	if err != nil {
		return err
	}
	return body.Close()
}

// get returns the body of an answer with status 200.
func get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, ErrSystem.Wrap(err, "call %s", url)
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, ErrSystem.Wrap(err, "call %s", url)
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, ErrSystem.New("%s: status %d", url, answer.StatusCode)
	}
	return answer.Body, nil
}
