package api

import (
	"cmp"
	"strconv"
	"strings"
)

// CompareValues orders two field values: numbers numerically, other text
// bytewise, and numbers before other text. Targets and entry processes must use
// the same order, because the first rows of each shard are merged into the first
// rows of the answer.
func CompareValues(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	switch {
	case errX == nil && errY == nil:
		return cmp.Compare(x, y)
	case errX == nil:
		return -1
	case errY == nil:
		return 1
	}
	return cmp.Compare(a, b)
}

// CompareRows orders two rows as the query requests. Rows without the OrderBy
// field come last, and ties are broken by key so that the order is total.
func CompareRows(q *Query, a, b *Row) int {
	if q.OrderBy != "" {
		if c := compareField(q, a, b); c != 0 {
			return c
		}
	}
	if q.OrderBy == "" && q.Descending {
		return cmp.Compare(b.Key, a.Key)
	}
	return cmp.Compare(a.Key, b.Key)
}

func compareField(q *Query, a, b *Row) int {
	x, hasX := a.Value(q.OrderBy)
	y, hasY := b.Value(q.OrderBy)
	switch {
	case hasX && hasY:
		if q.Descending {
			return CompareValues(y, x)
		}
		return CompareValues(x, y)
	case hasX:
		return -1
	case hasY:
		return 1
	}
	return 0
}

// Matches reports whether a row satisfies the condition. A row without the field
// satisfies only NotEqual.
func (c Condition) Matches(r *Row) bool {
	value, ok := r.Value(c.Field)
	if !ok {
		return c.Operator == NotEqual
	}
	if c.Operator == Contains {
		return strings.Contains(value, c.Value)
	}
	order := CompareValues(value, c.Value)
	switch c.Operator {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	case GreaterOrEqual:
		return order >= 0
	}
	return false
}
