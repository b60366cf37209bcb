package config

import "github.com/joomcode/errorx"

// Errors is the errorx namespace of the errors of this package.
var Errors = errorx.NewNamespace("config")

// Error types. Operators see the messages, so each message names the operation or
// the object and says what was expected.
var (
	// ErrInvalidOp means that an operation of a change cannot be applied.
	ErrInvalidOp = Errors.NewType("invalid_operation")
	// ErrInvalidChange means that a change as a whole is invalid.
	ErrInvalidChange = Errors.NewType("invalid_change")
	// ErrInvalidDocument means that a document fails a check of Validate.
	ErrInvalidDocument = Errors.NewType("invalid_document")
	// ErrSequence means that the position of a change is not the one that follows the
	// document's position.
	ErrSequence = Errors.NewType("out_of_sequence")
	// ErrDigest means that a document does not have the digest that its change records.
	ErrDigest = Errors.NewType("digest_mismatch")
	// ErrMalformed means that a document or change cannot be encoded or decoded.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge means that a document or change exceeds a size limit.
	ErrTooLarge = Errors.NewType("too_large")
)

// Message returns the text of an error to show to operators, without the errorx
// type name.
func Message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}
