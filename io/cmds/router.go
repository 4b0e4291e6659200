package cmds

import (
	"fmt"
	"net"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"

	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/life"
	"geraniumsaddle/io/logs"
	"geraniumsaddle/io/node"
)

func newRouter() *cobra.Command {
	var cfg flags.Router
	cmd := &cobra.Command{
		Use:   "router",
		Short: "Run a router until it is interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, &cfg); err != nil {
				return err
			}
			return runRouter(cmd, cfg)
		},
	}
	flags.BindRouter(cmd.Flags(), &cfg)
	return cmd
}

func runRouter(cmd *cobra.Command, cfg flags.Router) error {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	out := logs.New(cmd.ErrOrStderr(), logs.DefaultQueueSize)
	defer flushLog(out)
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "geraniumsaddle", Name: "log_lines_lost_total",
		Help: "Log lines that could not be written."}, func() float64 { return float64(out.Lost()) }))
	log := out.Logger(cfg.Level())
	clock := clockwork.NewRealClock()
	certs, err := loadCerts(cfg, clock)
	if err != nil {
		return err
	}
	ctx := cmd.Context()
	w := life.Waiter{Clock: clock, Log: log, Bound: life.DefaultBusyWait}
	listen := func(addr string) (net.Listener, error) { return w.Listen(ctx, addr) }
	n, err := node.New(cfg, node.Deps{Clock: clock, Log: log, Registry: reg, Certs: certs, Listen: listen})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil
	case err != nil:
		return err
	}
	if certs != nil {
		go watchCerts(cmd.Context(), cfg, certs, clock, log)
	}
	printMessage(cmd.OutOrStdout(), fmt.Sprintf("{\"router\":%q,\"caller_addr\":%q,\"admin_addr\":%q,\"peer_addr\":%q}",
		n.ID(), n.CallerAddr(), n.AdminAddr(), n.PeerAddr()))
	go func() {
		for range life.Hangups() {
			log.Info("SIGHUP has no effect: a router's settings are flags")
		}
	}()
	return n.Run(ctx)
}

func newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check and document settings"}
	var cfg flags.Router
	check := &cobra.Command{
		Use:   "check",
		Short: "Validate the settings of a router and report every fault",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, &cfg); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return err
		},
	}
	flags.BindRouter(check.Flags(), &cfg)
	cmd.AddCommand(check, newSettingsPage())
	return cmd
}
