package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
)

// Digest returns the xxhash of the document's JSON form without history. The
// form is canonical: encoding/json writes fields in order of declaration and
// map keys in ascending order.
func Digest(doc *Document) uint64 {
	plain := *doc
	plain.History = nil
	data, err := json.Marshal(&plain)
	if err != nil {
		// Without history a document holds only strings, numbers and booleans.
		panic(err)
	}
	return xxhash.Sum64(data)
}

// Encode returns the store's form of a document, at most MaxEncoded bytes.
func Encode(doc *Document) ([]byte, error) { return encode("document", doc) }

// Decode is the inverse of Encode. It accepts no unknown fields and no trailing
// data; the rules of the content are checked by Validate.
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

// EncodeChange returns the form of a change sent between nodes.
func EncodeChange(c Change) ([]byte, error) { return encode("change", c) }

// DecodeChange is the inverse of EncodeChange, as strict as Decode.
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
	if size <= MaxEncoded {
		return nil
	}
	return ErrTooLarge.New("%s has %d bytes, the limit is %d", what, size, MaxEncoded)
}

// jsonSize returns the length of a value's JSON form.
func jsonSize(value any) (int, error) {
	data, err := json.Marshal(value)
	return len(data), err
}
