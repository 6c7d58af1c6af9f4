package jsonfile

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// sizeUnits are the units of sizes, the largest first. Only binary units are accepted,
// since "KB" is ambiguous: 1000 or 1024 bytes.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseSize parses a number of bytes with a unit, such as "64KiB". It returns false if
// the text is invalid or the number too large.
func ParseSize(text string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || n > math.MaxInt64/uint64(u.bytes) {
			return 0, false
		}
		return int64(n) * u.bytes, true
	}
	return 0, false
}

// FormatSize formats a number of bytes in the largest unit that divides it.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// FormatDuration formats a duration as in settings and declarations, such as "2s" and
// "1m30s", without the trailing zero units of time.Duration ("1m0s").
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Nearest returns the known name with the smallest edit distance to the given one,
// ignoring case. The distance may be at most two and at most a third of the length of
// the name; if no name is as close, the result is empty.
func Nearest(name string, known []string) string {
	best, distance := "", min(2, len(name)/3)+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < distance {
			best, distance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two short strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
