package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
)

// Digest returns the xxhash of the document's JSON encoding without the history.
// The encoding is deterministic: encoding/json writes fields in order of
// declaration and map keys in ascending order.
func Digest(doc *Document) uint64 {
	withoutHistory := *doc
	withoutHistory.History = nil
	data, err := json.Marshal(&withoutHistory)
	if err != nil {
		// Cannot happen: without the history, a document contains only strings,
		// numbers and booleans, which can always be encoded.
		panic(err)
	}
	return xxhash.Sum64(data)
}

// Encode returns the JSON encoding of a document as it is kept in the store. It
// fails if the encoding exceeds MaxEncodedBytes.
func Encode(doc *Document) ([]byte, error) { return encode("document", doc) }

// Decode is the inverse of Encode. It rejects unknown fields and trailing data. It
// does not check the content; Validate does.
func Decode(data []byte) (*Document, error) {
	doc := &Document{}
	if err := decode("document", data, doc); err != nil {
		return nil, err
	}
	if doc.Services == nil {
		doc.Services = map[api.ServiceName]*Service{}
	}
	if doc.Replicas == nil {
		doc.Replicas = map[api.ReplicaName]*Replica{}
	}
	return doc, nil
}

// EncodeChange returns the JSON encoding of a change as it is sent between nodes.
// It fails if the encoding exceeds MaxEncodedBytes.
func EncodeChange(c Change) ([]byte, error) { return encode("change", c) }

// DecodeChange is the inverse of EncodeChange. It rejects unknown fields and
// trailing data.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := decode("change", data, &c); err != nil {
		return Change{}, err
	}
	return c, nil
}

func encode(what string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, ErrMalformed.New("%s cannot be encoded: %v", what, err)
	}
	if err := checkSize(what, len(data)); err != nil {
		return nil, err
	}
	return data, nil
}

func decode(what string, data []byte, into any) error {
	if err := checkSize(what, len(data)); err != nil {
		return err
	}
	if len(bytes.TrimSpace(data)) == 0 || bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return ErrMalformed.New("%s is empty, expected a JSON object", what)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return ErrMalformed.New("%s is not valid: %v", what, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return ErrMalformed.New("%s is followed by other data", what)
	}
	return nil
}

func checkSize(what string, size int) error {
	if size <= MaxEncodedBytes {
		return nil
	}
	return ErrTooLarge.New("%s has %d bytes, the limit is %d", what, size, MaxEncodedBytes)
}

// jsonSize returns the length in bytes of a value's JSON encoding.
func jsonSize(value any) (int, error) {
	data, err := json.Marshal(value)
	return len(data), err
}
