package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// requestTimeout is the timeout of one HTTP request.
const requestTimeout = 5 * time.Second

var httpClient = &http.Client{Timeout: requestTimeout}

// postJSON posts body as JSON and decodes the response into out unless out is nil.
// If out is nil, a status of 300 or above is an error; otherwise the status is
// ignored and any response that can be decoded is accepted.
func postJSON(ctx context.Context, url string, body, out any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return ErrSystem.Wrap(err, "encode the body for %s", url)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return ErrSystem.Wrap(err, "call %s", url)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return ErrSystem.Wrap(err, "call %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return ErrSystem.Wrap(err, "read the answer of %s", url)
	}
	if out != nil {
		if err := json.Unmarshal(received, out); err != nil {
			return ErrSystem.Wrap(err, "decode the answer of %s", url)
		}
		return nil
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return ErrSystem.New("%s: status %d: %s", url, response.StatusCode, bytes.TrimSpace(received))
	}
	return nil
}

// checkStatusOK returns an error unless a GET request returns status 200.
func checkStatusOK(ctx context.Context, url string) error {
	body, err := get(ctx, url)
	if err != nil {
		return err
	}
	return body.Close()
}

// get returns the body of a GET response with status 200; another status is an
// error. The caller must close the body.
func get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, ErrSystem.Wrap(err, "call %s", url)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, ErrSystem.Wrap(err, "call %s", url)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, ErrSystem.New("%s: status %d", url, response.StatusCode)
	}
	return response.Body, nil
}
