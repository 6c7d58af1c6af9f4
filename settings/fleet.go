package settings

// Fleet holds the settings of a fleet process that the platform's settings file does not
// contain.
type Fleet struct {
	Dial   map[string]string // address to dial by advertised address, where they differ; usually empty
	Limits Limits
}

// LoadFleet reads and validates a file of Fleet settings. It returns valid settings with
// their warnings. The error is of type Problems if the file is invalid.
func LoadFleet(path string) (Fleet, Problems, error) { return load(path, ParseFleet) }

// ParseFleet parses and validates the text of a file of Fleet settings.
func ParseFleet(path string, src []byte) (Fleet, Problems) {
	r, top := open(path, src)
	if top == nil {
		return Fleet{}, r.file.Problems()
	}
	f := Fleet{Dial: readDial(top), Limits: readLimits(top)}
	top.Close()
	return f, r.file.Problems()
}
