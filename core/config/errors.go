package config

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("config")

// Types of errors. Each message names the operation or the object and says what
// was expected, in words for an operator.
var (
	// ErrInvalidOp means that an operation of a change cannot be applied.
	ErrInvalidOp = Errors.NewType("invalid_operation")
	// ErrInvalidChange means that a change as a whole is not acceptable.
	ErrInvalidChange = Errors.NewType("invalid_change")
	// ErrInvalidDocument means that a document breaks a rule.
	ErrInvalidDocument = Errors.NewType("invalid_document")
	// ErrSequence means that a change does not follow the document's position.
	ErrSequence = Errors.NewType("out_of_sequence")
	// ErrDigest means that a document is not the one that a change led to.
	ErrDigest = Errors.NewType("digest_mismatch")
	// ErrMalformed means that bytes are not the encoding of a value.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge means that a value exceeds its size limit.
	ErrTooLarge = Errors.NewType("too_large")
)

// Message returns the text of an error without its type, for operators.
func Message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}
