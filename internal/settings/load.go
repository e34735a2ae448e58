package settings

import (
	"reflect"
	"time"

	"gopkg.in/ini.v1"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Load reads and validates the settings file of the daemon.
func Load(path string) (Settings, error) { return read(path, Default()) }

// LoadSidecar reads and validates the settings file of a sidecar.
func LoadSidecar(path string) (Sidecar, error) { return read(path, DefaultSidecar()) }

// validated is implemented by settings that can validate themselves. path is the
// settings file, for the error message.
type validated interface {
	Validate(path string) error
}

// read maps a file onto the defaults and validates the result.
func read[T validated](path string, defaults T) (T, error) {
	var zero T
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, AllowShadows: false}, path)
	if err != nil {
		return zero, result.Wrap(err, result.SettingsUnreadable, "read settings file %s", path)
	}
	known := keysOf(reflect.TypeFor[T]())
	if err := rejectUnknown(path, file, known); err != nil {
		return zero, err
	}
	if err := rejectMalformed(path, file, known); err != nil {
		return zero, err
	}
	if err := file.StrictMapTo(&defaults); err != nil {
		return zero, result.Wrap(err, result.SettingsInvalid, "%s", path)
	}
	if err := defaults.Validate(path); err != nil {
		return zero, err
	}
	return defaults, nil
}

// keyTypes holds the type of each key by section.
type keyTypes map[string]map[string]reflect.Type

// rejectUnknown returns an error for the first unknown section or key.
func rejectUnknown(path string, file *ini.File, known keyTypes) error {
	for _, section := range file.Sections() {
		keys, found := known[section.Name()]
		if !found && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			return result.Errorf(result.SettingsUnknownKey, "%s: unknown section [%s]", path, section.Name())
		}
		for _, key := range section.Keys() {
			if _, found := keys[key.Name()]; !found {
				return result.Errorf(result.SettingsUnknownKey, "%s: section [%s]: unknown key %q", path, section.Name(), key.Name())
			}
		}
	}
	return nil
}

// rejectMalformed returns an error for a value that does not parse as the type of its
// key.
func rejectMalformed(path string, file *ini.File, known keyTypes) error {
	for section, keys := range known {
		for name, kind := range keys {
			if !file.Section(section).HasKey(name) {
				continue
			}
			key := file.Section(section).Key(name)
			if err := parseAs(key, kind); err != nil {
				return result.Errorf(result.SettingsInvalid, "%s: section [%s]: key %q: value %q is not a valid %s", path, section, name, key.String(), kind)
			}
		}
	}
	return nil
}

func parseAs(key *ini.Key, kind reflect.Type) error {
	switch kind {
	case reflect.TypeFor[time.Duration]():
		_, err := key.Duration()
		return err
	case reflect.TypeFor[int]():
		_, err := key.Int()
		return err
	case reflect.TypeFor[float64]():
		_, err := key.Float64()
		return err
	case reflect.TypeFor[bool]():
		_, err := key.Bool()
		return err
	default:
		return nil
	}
}

// Keys returns the type of each key of the daemon's settings by section.
func Keys() map[string]map[string]reflect.Type { return keysOf(reflect.TypeFor[Settings]()) }

// SidecarKeys returns the type of each key of a sidecar's settings by section.
func SidecarKeys() map[string]map[string]reflect.Type { return keysOf(reflect.TypeFor[Sidecar]()) }

func keysOf(settingsType reflect.Type) keyTypes {
	known := make(keyTypes)
	for i := range settingsType.NumField() {
		section := settingsType.Field(i)
		keys := make(map[string]reflect.Type)
		for j := range section.Type.NumField() {
			key := section.Type.Field(j)
			keys[key.Tag.Get("ini")] = key.Type
		}
		known[section.Tag.Get("ini")] = keys
	}
	return known
}
