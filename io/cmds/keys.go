package cmds

import (
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
)

// Names of the files of the fleet's certificate authority.
const (
	caCertFile = "ca.pem"
	caKeyFile  = "ca-key.pem"
)

const (
	caValidity          = 5 * 365 * 24 * time.Hour
	defaultCertValidity = 90 * 24 * time.Hour
)

func newKeys() *cobra.Command {
	var dir, fleet string
	var days int
	cmd := &cobra.Command{Use: "keys", Short: "Create the fleet's certificate authority and router certificates"}
	cmd.PersistentFlags().StringVar(&dir, "dir", ".", "directory of the key files")
	initCmd := &cobra.Command{
		Use:   "init",
		Short: "Create the fleet's certificate authority: " + caCertFile + " and " + caKeyFile,
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return createAuthority(dir, fleet) },
	}
	initCmd.Flags().StringVar(&fleet, "fleet", "geraniumsaddle", "name of the fleet")
	issue := &cobra.Command{
		Use:   "issue ROUTER",
		Short: "Issue a certificate: ROUTER.pem and ROUTER-key.pem",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return issueCertificate(dir, args[0], time.Duration(days)*24*time.Hour)
		},
	}
	issue.Flags().IntVar(&days, "days", int(defaultCertValidity/(24*time.Hour)), "validity in days")
	cmd.AddCommand(initCmd, issue)
	return cmd
}

func createAuthority(dir, fleet string) error {
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return trace.AlreadyExists("%s exists; a new certificate authority would not accept the certificates of the current routers", caKeyFile)
	}
	ca, err := peer.NewAuthority(fleet, time.Now(), caValidity)
	if err != nil {
		return trace.Wrap(err)
	}
	return writePair(dir, caCertFile, caKeyFile, ca)
}

func issueCertificate(dir, router string, validity time.Duration) error {
	if !object.ValidID(router) || validity <= 0 {
		return &settingsError{object.Faults{{Path: "ROUTER", Message: "must be a valid router name, with a validity of at least a day"}}}
	}
	cert, err := os.ReadFile(filepath.Join(dir, caCertFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	key, err := os.ReadFile(filepath.Join(dir, caKeyFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	node, err := peer.KeyPair{Cert: cert, Key: key}.Issue(router, time.Now(), validity)
	if err != nil {
		return trace.Wrap(err)
	}
	return writePair(dir, router+".pem", router+"-key.pem", node)
}

func writePair(dir, certName, keyName string, p peer.KeyPair) error {
	if err := os.WriteFile(filepath.Join(dir, keyName), p.Key, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(dir, certName), p.Cert, 0o644)) //nolint:gosec // certificates are public
}
