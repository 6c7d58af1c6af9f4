package jsonfile

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Object reads the members of one object. A reader method records a problem if the
// member is missing or invalid and returns the zero value or the default.
type Object struct {
	file        *File
	path        string
	members     map[string]hujson.Value
	order       []string       // member names in the order of the file
	nameOffsets map[string]int // offset of each member's name
	knownNames  []string       // names that a method was called for
}

func newObject(f *File, path string, offset int, o *hujson.Object) *Object {
	f.positions[path] = f.position(offset)
	obj := &Object{file: f, path: path, members: map[string]hujson.Value{}, nameOffsets: map[string]int{}}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, repeated := obj.members[name]; repeated {
			f.report(f.position(m.Name.StartOffset), obj.Path(name), "is given twice")
			continue
		}
		obj.members[name] = m.Value
		obj.nameOffsets[name] = m.Name.StartOffset
		obj.order = append(obj.order, name)
	}
	return obj
}

// Path returns the path of a member of this object.
func (o *Object) Path(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// Has reports whether the member is present and marks the name as known.
func (o *Object) Has(name string) bool {
	_, ok := o.lookup(name)
	return ok
}

// Report records a problem of a member.
func (o *Object) Report(name, format string, args ...any) {
	o.file.Report(o.Path(name), format, args...)
}

// Names returns the member names in the order of the file and marks all of them as
// known. It is for objects with arbitrary member names.
func (o *Object) Names() []string {
	o.knownNames = append(o.knownNames, o.order...)
	return o.order
}

// Close reports every unknown member: one whose name no method was called for.
func (o *Object) Close() {
	for _, name := range o.order {
		if slices.Contains(o.knownNames, name) {
			continue
		}
		message := "unknown field"
		if near := Nearest(name, o.knownNames); near != "" {
			message += fmt.Sprintf("; did you mean %q?", near)
		}
		o.file.report(o.file.position(o.nameOffsets[name]), o.Path(name), "%s", message)
	}
}

// lookup returns a member, marks its name as known and records its position.
func (o *Object) lookup(name string) (hujson.Value, bool) {
	if !slices.Contains(o.knownNames, name) {
		o.knownNames = append(o.knownNames, name)
	}
	v, ok := o.members[name]
	if ok {
		o.file.positions[o.Path(name)] = o.file.position(v.StartOffset)
	}
	return v, ok
}

// lookupRequired is lookup and reports a missing member.
func (o *Object) lookupRequired(name string) (hujson.Value, bool) {
	v, ok := o.lookup(name)
	if !ok {
		o.Report(name, "is missing")
	}
	return v, ok
}

// literal returns a literal of the given kind: '"', '0', or 't' for both booleans. It
// reports a value of another kind.
func (o *Object) literal(name string, v hujson.Value, kind hujson.Kind, expected string) (hujson.Literal, bool) {
	lit, ok := v.Value.(hujson.Literal)
	actual := v.Value.Kind()
	if actual == 'f' {
		actual = 't'
	}
	if !ok || actual != kind {
		o.Report(name, "must be %s, is %s", expected, kindName(v.Value))
		return nil, false
	}
	return lit, true
}

// Text reads a required string that is not empty.
func (o *Object) Text(name string) string {
	v, ok := o.lookupRequired(name)
	if !ok {
		return ""
	}
	return o.text(name, v)
}

// OptionalText reads a string that may be absent but not empty.
func (o *Object) OptionalText(name string) string {
	v, ok := o.lookup(name)
	if !ok {
		return ""
	}
	return o.text(name, v)
}

func (o *Object) text(name string, v hujson.Value) string {
	lit, ok := o.literal(name, v, '"', "a string")
	if !ok {
		return ""
	}
	s := lit.String()
	if s == "" {
		o.Report(name, "must not be empty")
	}
	return s
}

// Choice reads a string that must be one of the choices. An absent member counts as
// the fallback; if the fallback is empty, the member is required.
func (o *Object) Choice(name, fallback string, choices []string) string {
	v, ok := o.lookup(name)
	if !ok {
		if fallback == "" {
			o.Report(name, "is missing")
		}
		return fallback
	}
	lit, ok := o.literal(name, v, '"', "a string")
	if !ok {
		return fallback
	}
	if s := lit.String(); slices.Contains(choices, s) {
		return s
	}
	message := fmt.Sprintf("%q is not one of %s", lit.String(), strings.Join(choices, ", "))
	if near := Nearest(lit.String(), choices); near != "" {
		message += fmt.Sprintf("; did you mean %q?", near)
	}
	o.Report(name, "%s", message)
	return fallback
}

// Bool reads a boolean; an absent member is false.
func (o *Object) Bool(name string) bool {
	v, ok := o.lookup(name)
	if !ok {
		return false
	}
	lit, ok := o.literal(name, v, 't', "true or false")
	return ok && lit.Bool()
}

// Range is an inclusive range. Reason is quoted in the message about a value out of
// range; it may be empty.
type Range[T cmp.Ordered] struct {
	Min, Max T
	Reason   string
}

// checkRange reports whether v is in the range, and records a problem if it is not.
func checkRange[T cmp.Ordered](o *Object, name string, v T, r Range[T], format func(T) string) bool {
	if v >= r.Min && v <= r.Max {
		return true
	}
	message := fmt.Sprintf("%s is outside of %s to %s", format(v), format(r.Min), format(r.Max))
	if r.Reason != "" {
		message += " (" + r.Reason + ")"
	}
	o.Report(name, "%s", message)
	return false
}

// Int reads a required integer.
func (o *Object) Int(name string, r Range[int]) int {
	v, ok := o.lookupRequired(name)
	if !ok {
		return 0
	}
	return o.integer(name, v, 0, r)
}

// OptionalInt reads an integer with a default.
func (o *Object) OptionalInt(name string, fallback int, r Range[int]) int {
	v, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	return o.integer(name, v, fallback, r)
}

func (o *Object) integer(name string, v hujson.Value, fallback int, r Range[int]) int {
	lit, ok := o.literal(name, v, '0', "a whole number")
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(string(lit))
	if err != nil {
		o.Report(name, "must be a whole number, is %s", lit)
		return fallback
	}
	if !checkRange(o, name, n, r, strconv.Itoa) {
		return fallback
	}
	return n
}

// Duration reads a required duration with a unit. It must be whole milliseconds, the
// resolution of deadlines on the wire.
func (o *Object) Duration(name string, r Range[time.Duration]) time.Duration {
	if _, ok := o.lookupRequired(name); !ok {
		return 0
	}
	return o.OptionalDuration(name, 0, r)
}

// OptionalDuration is Duration with a default.
func (o *Object) OptionalDuration(name string, fallback time.Duration, r Range[time.Duration]) time.Duration {
	v, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	const expected = `a duration with a unit, such as "250ms" or "2s"`
	lit, ok := o.literal(name, v, '"', expected)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil || !strings.ContainsAny(lit.String(), "hms") {
		o.Report(name, "must be %s, is %q", expected, lit.String())
		return fallback
	}
	if d%time.Millisecond != 0 {
		o.Report(name, "must be whole milliseconds, is %q", lit.String())
		return fallback
	}
	if !checkRange(o, name, d, r, FormatDuration) {
		return fallback
	}
	return d
}

// OptionalSize reads a number of bytes with a unit and a default. The suffix must follow
// the unit; it is "/s" for rates and otherwise empty.
func (o *Object) OptionalSize(name, suffix string, fallback int64, r Range[int64]) int64 {
	v, ok := o.lookup(name)
	if !ok {
		return fallback
	}
	expected := fmt.Sprintf(`a size in B, KiB, MiB or GiB, such as "64KiB%s"`, suffix)
	lit, ok := o.literal(name, v, '"', expected)
	if !ok {
		return fallback
	}
	digits, found := strings.CutSuffix(lit.String(), suffix)
	n, ok := ParseSize(digits)
	if !ok || !found {
		o.Report(name, "must be %s, is %q", expected, lit.String())
		return fallback
	}
	if !checkRange(o, name, n, r, func(n int64) string { return FormatSize(n) + suffix }) {
		return fallback
	}
	return n
}

// Texts reads a list of strings, which may be absent. The path of an element is
// "name[i]". Invalid elements become empty strings, so that indexes match the file.
func (o *Object) Texts(name string) []string {
	var texts []string
	for i, v := range o.list(name) {
		element := fmt.Sprintf("%s[%d]", name, i)
		o.file.positions[o.Path(element)] = o.file.position(v.StartOffset)
		texts = append(texts, o.text(element, v))
	}
	return texts
}

// Objects reads a list of objects, which may be absent. It leaves out invalid elements.
func (o *Object) Objects(name string) []*Object {
	var objects []*Object
	for i, v := range o.list(name) {
		element := fmt.Sprintf("%s[%d]", name, i)
		o.file.positions[o.Path(element)] = o.file.position(v.StartOffset)
		if obj := o.object(element, v); obj != nil {
			objects = append(objects, obj)
		}
	}
	return objects
}

// Object reads a member that is an object; it returns nil if it is absent or invalid.
func (o *Object) Object(name string) *Object {
	v, ok := o.lookup(name)
	if !ok {
		return nil
	}
	return o.object(name, v)
}

// RequiredObject is Object and reports a missing member.
func (o *Object) RequiredObject(name string) *Object {
	v, ok := o.lookupRequired(name)
	if !ok {
		return nil
	}
	return o.object(name, v)
}

func (o *Object) object(name string, v hujson.Value) *Object {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		o.Report(name, "must be an object, is %s", kindName(v.Value))
		return nil
	}
	return newObject(o.file, o.Path(name), v.StartOffset, obj)
}

func (o *Object) list(name string) []hujson.Value {
	v, ok := o.lookup(name)
	if !ok {
		return nil
	}
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		o.Report(name, "must be a list, is %s", kindName(v.Value))
		return nil
	}
	return arr.Elements
}
