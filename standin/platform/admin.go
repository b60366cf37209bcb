package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// adminBodyLimit bounds the body of an admin request in bytes.
const adminBodyLimit = 4 << 20

// VMsRequest is the body of PUT /admin/vms.
type VMsRequest struct {
	VMs []VM `json:"vms"`
	// LagMS is the time until readers see the list.
	LagMS int64 `json:"lag_ms"`
}

// CopyRequest is the body of POST /admin/save and POST /admin/restore.
type CopyRequest struct {
	Name string `json:"name"`
}

// AdminHandler returns the admin interface. It belongs on a listener of its
// own, since the fault switches can close the main one.
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
	// The body changes the switches that it names and leaves the others.
	mux.HandleFunc("POST /admin/faults", handle(func(body json.RawMessage) error {
		var wrong error
		err := p.ChangeFaults(func(f *Faults) {
			before := *f
			if wrong = decodeStrict(body, f); wrong != nil {
				*f = before
			}
		})
		if wrong != nil {
			return ErrState.Wrap(wrong, "decode faults")
		}
		return err
	}))
	mux.HandleFunc("POST /admin/apply", handle(func(struct{}) error {
		p.ApplyDelayed()
		return nil
	}))
	mux.HandleFunc("POST /admin/save", handle(func(r CopyRequest) error {
		p.Save(r.Name)
		return nil
	}))
	mux.HandleFunc("POST /admin/restore", handle(func(r CopyRequest) error { return p.Restore(r.Name) }))
	mux.HandleFunc("PUT /admin/vms", handle(func(r VMsRequest) error {
		p.SetVMs(r.VMs, time.Duration(r.LagMS)*time.Millisecond)
		return nil
	}))
	return mux
}

func handle[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminBodyLimit))
		if err != nil {
			fail(w, http.StatusRequestEntityTooLarge, codeInvalidArgument, err.Error())
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
			fail(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
