package callerhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/google/uuid"
)

const (
	// maxDeadline limits deadline_ms. The deadlines in the rules of services are far
	// shorter.
	maxDeadline = 24 * time.Hour
	// maxRows limits the field limit, so that its value fits every integer type that
	// carries it.
	maxRows = 1_000_000
	// maxNameBytes is the longest name that the protocol to targets accepts.
	maxNameBytes = 256
	// uuidTextBytes is the length of the canonical text form of a UUID.
	uuidTextBytes = 36
	// keyUUIDVersion is the UUID version whose first 48 bits are a timestamp.
	keyUUIDVersion = 7
)

// operators maps the operators of the JSON interface.
var operators = map[string]api.Operator{
	"=": api.Equal, "!=": api.NotEqual,
	"<": api.Less, "<=": api.LessOrEqual,
	">": api.Greater, ">=": api.GreaterOrEqual,
	"contains": api.Contains,
}

type conditionBody struct {
	Field    string `json:"field"`
	Operator string `json:"operator"`
	Value    string `json:"value"`
}

type searchBody struct {
	Service         string          `json:"service"`
	Conditions      []conditionBody `json:"conditions"`
	OrderBy         string          `json:"order_by"`
	Descending      bool            `json:"descending"`
	Limit           int64           `json:"limit"`
	DeadlineMillis  *int64          `json:"deadline_ms"`
	CoveragePercent *float64        `json:"coverage_percent"`
	EarlyReturn     *bool           `json:"early_return"`
}

type workBody struct {
	Service        string `json:"service"`
	Payload        string `json:"payload"`
	DeadlineMillis *int64 `json:"deadline_ms"`
}

// decodeStrict decodes exactly one JSON value into out. An unknown field, a duplicate
// field and a field name in a different letter case are errors that name the field.
func decodeStrict(r io.Reader, out any) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more data after the JSON object")
	}
	return checkFieldNames(json.NewDecoder(bytes.NewReader(text)))
}

// fieldNameChars holds all characters that occur in field names.
const fieldNameChars = "abcdefghijklmnopqrstuvwxyz_"

// checkFieldNames returns an error for a duplicate field or a field name that differs from
// the known name in letter case. encoding/json accepts both and uses Unicode case folding.
// The input must be valid JSON that encoding/json decoded without unknown fields.
func checkFieldNames(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	delimiter, nested := token.(json.Delim)
	if !nested {
		return nil
	}
	seen := make(map[string]bool)
	for decoder.More() {
		if delimiter == '{' {
			if err := checkFieldName(decoder, seen); err != nil {
				return err
			}
		}
		if err := checkFieldNames(decoder); err != nil {
			return err
		}
	}
	_, err = decoder.Token()
	return err
}

// checkFieldName reads and checks the name of the next field of an object. seen holds the
// names that the object has had so far.
func checkFieldName(decoder *json.Decoder, seen map[string]bool) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	if strings.Trim(name, fieldNameChars) != "" {
		return fmt.Errorf("unknown field %q", name)
	}
	if seen[name] {
		return fmt.Errorf("field %q is given twice", name)
	}
	seen[name] = true
	return nil
}

// decodeSearch decodes the body of POST /v1/search. A zero deadline means that the
// service's rule applies.
func decodeSearch(r io.Reader, now time.Time) (api.Search, time.Time, error) {
	var body searchBody
	if err := decodeStrict(r, &body); err != nil {
		return api.Search{}, time.Time{}, err
	}
	deadline, err := parseDeadline(body.DeadlineMillis, now)
	if err != nil {
		return api.Search{}, time.Time{}, err
	}
	search, err := toSearch(body)
	return search, deadline, err
}

func toSearch(body searchBody) (api.Search, error) {
	if err := checkService(body.Service); err != nil {
		return api.Search{}, err
	}
	if body.Limit < 0 || body.Limit > maxRows {
		return api.Search{}, fmt.Errorf("limit must be from 0 to %d", maxRows)
	}
	coverage, err := parseCoverage(body.CoveragePercent)
	if err != nil {
		return api.Search{}, err
	}
	search := api.Search{
		Query: api.Query{
			Service:    api.ServiceName(body.Service),
			OrderBy:    body.OrderBy,
			Descending: body.Descending,
			Limit:      int(body.Limit),
		},
		Coverage:    coverage,
		EarlyReturn: body.EarlyReturn,
	}
	for i, c := range body.Conditions {
		operator, known := operators[c.Operator]
		if !known {
			return api.Search{}, fmt.Errorf("conditions[%d].operator is not one of = != < <= > >= contains", i)
		}
		if c.Field == "" {
			return api.Search{}, fmt.Errorf("conditions[%d].field is missing", i)
		}
		search.Query.Conditions = append(search.Query.Conditions,
			api.Condition{Field: c.Field, Operator: operator, Value: c.Value})
	}
	return search, nil
}

// decodeWork decodes the body and the idempotency key of POST /v1/work.
func decodeWork(r io.Reader, key string, now time.Time) (api.Work, time.Time, error) {
	parsed, err := decodeKey(key)
	if err != nil {
		return api.Work{}, time.Time{}, err
	}
	var body workBody
	if err := decodeStrict(r, &body); err != nil {
		return api.Work{}, time.Time{}, err
	}
	if err := checkService(body.Service); err != nil {
		return api.Work{}, time.Time{}, err
	}
	deadline, err := parseDeadline(body.DeadlineMillis, now)
	return api.Work{
		Service: api.ServiceName(body.Service),
		Key:     parsed,
		Payload: []byte(body.Payload),
	}, deadline, err
}

// decodeKey accepts only the canonical text form of a UUID: with two spellings of one key,
// entries for it in different logs could not be matched.
func decodeKey(key string) (api.IdempotencyKey, error) {
	if key == "" {
		return api.IdempotencyKey{}, errors.New("header Idempotency-Key is missing")
	}
	id, err := uuid.Parse(key)
	if err != nil || len(key) != uuidTextBytes {
		return api.IdempotencyKey{}, errors.New("header Idempotency-Key is not a UUID")
	}
	if id.Version() != keyUUIDVersion || id.Variant() != uuid.RFC4122 {
		return api.IdempotencyKey{}, errors.New("header Idempotency-Key is not a UUID of version 7")
	}
	return api.IdempotencyKey(id), nil
}

func checkService(name string) error {
	if name == "" {
		return errors.New("service is missing")
	}
	if len(name) > maxNameBytes {
		return errors.New("service is too long")
	}
	return nil
}

func parseDeadline(ms *int64, now time.Time) (time.Time, error) {
	if ms == nil {
		return time.Time{}, nil
	}
	if *ms < 1 || *ms > maxDeadline.Milliseconds() {
		return time.Time{}, fmt.Errorf("deadline_ms must be from 1 to %d", maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(*ms) * time.Millisecond), nil
}

// parseCoverage converts a percentage to PPM. 0 means that the caller gave none and the
// service's rule applies. The result is rounded up, so that a small percentage does not
// become 0.
func parseCoverage(percent *float64) (api.PPM, error) {
	if percent == nil {
		return 0, nil
	}
	if !(*percent > 0 && *percent <= 100) {
		return 0, errors.New("coverage_percent must be above 0 and at most 100")
	}
	// The inner rounding removes floating-point errors: 99.9 % has to give 999,000 PPM.
	ppm := math.Ceil(math.Round(*percent*1e7) / 1e3)
	return min(api.PPM(ppm), api.Whole), nil
}
