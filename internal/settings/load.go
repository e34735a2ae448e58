package settings

import (
	"reflect"
	"time"

	"gopkg.in/ini.v1"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, AllowShadows: false}, path)
	if err != nil {
		return Settings{}, result.Wrap(err, result.SettingsUnreadable, "read settings file %s", path)
	}
	if err := rejectUnknown(path, file); err != nil {
		return Settings{}, err
	}
	if err := rejectMalformed(path, file); err != nil {
		return Settings{}, err
	}
	settings := Default()
	if err := file.StrictMapTo(&settings); err != nil {
		return Settings{}, result.Wrap(err, result.SettingsInvalid, "%s", path)
	}
	if err := settings.Validate(path); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// rejectUnknown returns an error for the first section or key that Settings
// does not define.
func rejectUnknown(path string, file *ini.File) error {
	known := Keys()
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

// rejectMalformed returns an error for the first value that does not parse as
// the type of its key.
func rejectMalformed(path string, file *ini.File) error {
	for section, keys := range Keys() {
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
	default:
		return nil
	}
}

// Keys returns the type of each key by section.
func Keys() map[string]map[string]reflect.Type {
	known := make(map[string]map[string]reflect.Type)
	settingsType := reflect.TypeFor[Settings]()
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
