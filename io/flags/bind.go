package flags

import (
	"strings"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/object"
)

const envPrefix = "GERANIUMSADDLE_"

// secretAnnotation is the key of the annotation that marks flags whose value must not be printed.
const secretAnnotation = "secret"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Lookup finds an environment variable, as os.LookupEnv does.
type Lookup func(name string) (string, bool)

// ApplyEnv sets each flag that is not on the command line from its environment variable, if that is set. It returns a
// fault for each variable whose value is invalid.
func ApplyEnv(fs *pflag.FlagSet, lookup Lookup) object.Faults {
	var faults object.Faults
	fs.VisitAll(func(f *pflag.Flag) {
		v, ok := lookup(EnvName(f.Name))
		if f.Changed || !ok {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			faults = append(faults, object.Fault{Path: EnvName(f.Name), Message: invalidValue(f, v)})
			restoreDefault(f)
		}
	})
	return faults
}

// restoreDefault sets a flag to its default after a failed Set, which sets a number or a duration to zero; validation
// would report the zero as a second fault. A failed Set does not change a list.
func restoreDefault(f *pflag.Flag) {
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
func IsSecret(f *pflag.Flag) bool { return len(f.Annotations[secretAnnotation]) > 0 }

func markSecret(fs *pflag.FlagSet, name string) {
	_ = fs.SetAnnotation(name, secretAnnotation, []string{"true"})
}
