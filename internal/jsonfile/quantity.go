package jsonfile

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// sizeUnits are the units of sizes, the largest first. Only binary units are
// accepted: "KB" means 1000 bytes to some operators and 1024 to others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseSize reads a number of bytes with a unit, such as "64KiB".
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

// FormatSize writes a number of bytes in the largest unit that divides it.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// FormatDuration writes a duration as in files: "2s" and "1m30s", without the
// zero units of time.Duration ("1m0s").
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

// Nearest returns the known name that differs least from the given one, by at
// most two edits and a third of its length, or an empty string.
func Nearest(name string, known []string) string {
	best, distance := "", min(2, len(name)/3)+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < distance {
			best, distance = k, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance of two short strings.
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
