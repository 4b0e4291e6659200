package flags_test

import (
	"fmt"

	"github.com/spf13/pflag"

	"geraniumsaddle/io/flags"
)

func ExampleApplyEnv() {
	var cfg flags.Admin
	fs := pflag.NewFlagSet("admin", pflag.ContinueOnError)
	flags.BindAdmin(fs, &cfg)
	if err := fs.Parse([]string{"--output", "json"}); err != nil {
		panic(err)
	}
	faults := flags.ApplyEnv(fs, func(name string) (string, bool) {
		v, ok := map[string]string{
			"GERANIUMSADDLE_OUTPUT":        "table",
			"GERANIUMSADDLE_ADMIN_TIMEOUT": "soon",
		}[name]
		return v, ok
	})
	fmt.Println(cfg.Output)
	for _, f := range append(faults, cfg.Validate()...) {
		fmt.Println(f.Path, f.Message)
	}
	// Output:
	// json
	// GERANIUMSADDLE_ADMIN_TIMEOUT value "soon" is not a valid duration
	// --operator-token is required
}
