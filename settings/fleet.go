package settings

// Fleet holds the settings of a process of a fleet that the platform's file does
// not have.
type Fleet struct {
	Dial map[string]string // addresses to dial in place of advertised ones; usually empty
}

// LoadFleet reads and validates such a file. It returns the warnings beside valid
// settings; the error is of type Problems if the file could be read but is not
// valid.
func LoadFleet(path string) (Fleet, Problems, error) { return load(path, ParseFleet) }

// ParseFleet validates the text of such a file.
func ParseFleet(path string, src []byte) (Fleet, Problems) {
	r, top := open(path, src)
	if top == nil {
		return Fleet{}, r.file.Problems()
	}
	f := Fleet{Dial: readDial(top)}
	top.Close()
	return f, r.file.Problems()
}
