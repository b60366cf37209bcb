package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxAdminBodyBytes is the size limit of an admin request's body.
const maxAdminBodyBytes = 4 << 20

// VMsRequest is the body of PUT /admin/vms.
type VMsRequest struct {
	VMs []VM `json:"vms"`
	// LagMS is the delay in milliseconds until readers see the list.
	LagMS int64 `json:"lag_ms"`
}

// SnapshotRequest is the body of POST /admin/save and POST /admin/restore.
type SnapshotRequest struct {
	Name string `json:"name"`
}

// AdminHandler returns the HTTP handler of the admin interface. Serve it on a
// separate listener, because Faults.Down closes the main one.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counters())
	})
	mux.HandleFunc("GET /admin/entries", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Entries())
	})
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Faults())
	})
	// The body changes the faults that it names and leaves the others as they are.
	mux.HandleFunc("POST /admin/faults", handleJSON(func(body json.RawMessage) error {
		var decodeErr error
		err := p.ChangeFaults(func(f *Faults) {
			before := *f
			if decodeErr = decodeStrict(body, f); decodeErr != nil {
				*f = before
			}
		})
		if decodeErr != nil {
			return ErrState.Wrap(decodeErr, "decode faults")
		}
		return err
	}))
	mux.HandleFunc("POST /admin/apply", handleJSON(func(struct{}) error {
		p.ApplyDelayed()
		return nil
	}))
	mux.HandleFunc("POST /admin/save", handleJSON(func(r SnapshotRequest) error {
		p.Save(r.Name)
		return nil
	}))
	mux.HandleFunc("POST /admin/restore", handleJSON(func(r SnapshotRequest) error { return p.Restore(r.Name) }))
	mux.HandleFunc("PUT /admin/vms", handleJSON(func(r VMsRequest) error {
		p.SetVMs(r.VMs, time.Duration(r.LagMS)*time.Millisecond)
		return nil
	}))
	return mux
}

// handleJSON returns a handler that decodes the JSON body strictly (an empty body
// counts as {}), calls apply and answers 204, or an error status if either fails.
func handleJSON[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, codeInvalidArgument, err.Error())
			return
		}
		if len(bytes.TrimSpace(text)) == 0 {
			text = []byte("{}")
		}
		var body T
		err = decodeStrict(text, &body)
		if err == nil {
			err = apply(body)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
