package flags

import (
	"strings"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

const envPrefix = "GERANIUMSADDLE_"

// secretMark is the annotation of flags whose value must not be printed.
const secretMark = "secret"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Lookup finds an environment variable, as os.LookupEnv does.
type Lookup func(name string) (string, bool)

// ApplyEnv sets each flag that was not given from its environment variable.
func ApplyEnv(fs *pflag.FlagSet, lookup Lookup) object.Faults {
	var faults object.Faults
	fs.VisitAll(func(f *pflag.Flag) {
		v, ok := lookup(EnvName(f.Name))
		if f.Changed || !ok {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			faults = append(faults, object.Fault{Path: EnvName(f.Name), Message: invalidValue(f, v)})
			restore(f)
		}
	})
	return faults
}

// restore sets a flag to its default. A failed Set of a number or a duration leaves zero, which would be named as a
// second fault. A failed Set of a list changes nothing.
func restore(f *pflag.Flag) {
	if _, list := f.Value.(pflag.SliceValue); !list {
		_ = f.Value.Set(f.DefValue)
	}
}

func invalidValue(f *pflag.Flag, v string) string {
	if IsSecret(f) {
		return "has an invalid value"
	}
	return "value " + quote(v) + " is not a valid " + f.Value.Type()
}

func quote(s string) string { return "\"" + strings.ReplaceAll(s, "\"", "\\\"") + "\"" }

// IsSecret reports whether the value of the flag must not be printed.
func IsSecret(f *pflag.Flag) bool { return len(f.Annotations[secretMark]) > 0 }

func markSecret(fs *pflag.FlagSet, name string) {
	_ = fs.SetAnnotation(name, secretMark, []string{"true"})
}
