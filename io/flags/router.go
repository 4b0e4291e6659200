package flags

import (
	"log/slog"
	"time"

	"github.com/spf13/pflag"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Router holds the settings of a router process.
type Router struct {
	Name           string
	Domain         string
	VM             string
	CallerAddr     string
	AdminAddr      string
	PeerAddr       string
	PlatformURL    string
	Peers          []string
	PeerCAFile     string
	PeerCertFile   string
	PeerKeyFile    string
	OperationKey   string
	OperatorToken  string
	LogLevel       string
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	RequestTimeout time.Duration
	DrainTimeout   time.Duration
	DrainGrace     time.Duration

	PromptBytesPerToken int
	DefaultMaxTokens    int64
	BudgetWait          time.Duration
	QueueWait           time.Duration
	OrgStreamBytes      int64
	ProcessStreamBytes  int64
	SlowReaderAfter     time.Duration
	ReleasePolicy       string

	WeightBytesPerSecond int64
	WeightTransfers      int
	OrderDelay           time.Duration

	EnableFaultSwitches bool
}

// BindRouter adds the flags of a router to fs.
func BindRouter(fs *pflag.FlagSet, r *Router) {
	fs.StringVar(&r.Name, "name", "", "name of the router, unique in the fleet")
	fs.StringVar(&r.Domain, "domain", "", "failure domain of this VM")
	fs.StringVar(&r.VM, "vm", "", "name of this VM in the platform's VM list (default: the router's name)")
	fs.StringVar(&r.CallerAddr, "caller-addr", "127.0.0.1:8080", "TCP address for callers")
	fs.StringVar(&r.AdminAddr, "admin-addr", "127.0.0.1:8090", "TCP address for operators, metrics and health")
	fs.StringVar(&r.PeerAddr, "peer-addr", "127.0.0.1:0", "UDP address for other routers")
	fs.StringVar(&r.PlatformURL, "platform-url", "", "base URL of the platform's object service")
	fs.StringSliceVar(&r.Peers, "peers", nil, "addresses of peers to try if the platform is unreachable at startup")
	fs.StringVar(&r.PeerCAFile, "peer-ca-file", "", "PEM file with the certificates of the fleet's authority; reloaded when it changes")
	fs.StringVar(&r.PeerCertFile, "peer-cert-file", "", "PEM file with this router's certificate; reloaded when it changes")
	fs.StringVar(&r.PeerKeyFile, "peer-key-file", "", "PEM file with this router's private key; reloaded when it changes")
	fs.StringVar(&r.OperationKey, "operation-key", "", "secret that authenticates operation tokens; at least 16 bytes and the same for all routers of a fleet")
	fs.StringVar(&r.OperatorToken, "operator-token", "", "secret token of the first operator, who has the role owner; empty for none")
	fs.StringVar(&r.LogLevel, "log-level", "info", "minimum log level: debug, info, warn or error")
	fs.Int64Var(&r.MaxBodyBytes, "max-body-bytes", 4<<20, "largest request body, in bytes")
	fs.IntVar(&r.MaxHeaderBytes, "max-header-bytes", 32<<10, "largest request header, in bytes")
	fs.DurationVar(&r.HeaderTimeout, "header-timeout", 10*time.Second, "timeout for reading a request header")
	fs.DurationVar(&r.RequestTimeout, "request-timeout", 10*time.Minute, "timeout of one request")
	fs.DurationVar(&r.DrainTimeout, "drain-timeout", 15*time.Minute, "how long a graceful shutdown waits for running requests at most")
	fs.DurationVar(&r.DrainGrace, "drain-grace", 2*time.Second, "how long a router that shuts down still accepts connections, so that load balancers can remove it")
	bindTraffic(fs, r)
	markSecret(fs, "operation-key")
	markSecret(fs, "operator-token")
}

func bindTraffic(fs *pflag.FlagSet, r *Router) {
	fs.IntVar(&r.PromptBytesPerToken, "prompt-bytes-per-token", 3, "prompt bytes for each reserved token")
	fs.Int64Var(&r.DefaultMaxTokens, "default-max-tokens", 1024, "output limit of a request that sets none, in tokens")
	fs.DurationVar(&r.BudgetWait, "budget-wait", 500*time.Millisecond, "maximum wait for tokens of the budget before a request is refused")
	fs.DurationVar(&r.QueueWait, "queue-wait", 5*time.Second, "maximum wait for capacity at a target")
	fs.Int64Var(&r.OrgStreamBytes, "org-stream-bytes", 256<<20, "buffer limit for all streams of an organisation, in bytes")
	fs.Int64Var(&r.ProcessStreamBytes, "process-stream-bytes", 1<<30, "buffer limit for all streams of the process, in bytes")
	fs.DurationVar(&r.SlowReaderAfter, "slow-reader-after", 10*time.Second, "how long a stream's buffer may stay full before the target's stream is suspended")
	fs.StringVar(&r.ReleasePolicy, "release-policy", "default", "parameters of canary releases: default, or small for little traffic and short release windows")
	fs.Int64Var(&r.WeightBytesPerSecond, "weight-bytes-per-second", 0, "rate of the weight store, in bytes per second; 0 if unknown, which disables the planning of loads")
	fs.IntVar(&r.WeightTransfers, "weight-transfers", 4, "maximum number of concurrent transfers from the weight store")
	fs.DurationVar(&r.OrderDelay, "order-delay", 30*time.Second, "maximum time until an order sent to an engine takes effect")
	fs.BoolVar(&r.EnableFaultSwitches, "enable-fault-switches", false, "serve PUT /faults on the admin address, for tests")
}

// minSecretBytes is the minimum length of a shared secret.
const minSecretBytes = 16

// Validate returns all faults of the settings. It also sets an empty VM to its default, the name of the router.
func (r *Router) Validate() object.Faults {
	var c validator
	c.id("name", r.Name)
	c.id("domain", r.Domain)
	if r.VM == "" {
		r.VM = r.Name
	}
	c.id("vm", r.VM)
	c.addr("caller-addr", r.CallerAddr)
	c.addr("admin-addr", r.AdminAddr)
	c.addr("peer-addr", r.PeerAddr)
	for _, p := range r.Peers {
		c.addr("peers", p)
	}
	c.url("platform-url", r.PlatformURL)
	c.require(len(r.OperationKey) >= minSecretBytes, "operation-key", "must have at least 16 bytes")
	c.level("log-level", r.LogLevel)
	c.require((r.PeerCAFile == "") == (r.PeerCertFile == "") && (r.PeerCertFile == "") == (r.PeerKeyFile == ""),
		"peer-cert-file", "peer-ca-file, peer-cert-file and peer-key-file must be given together")
	c.require(r.ReleasePolicy == "default" || r.ReleasePolicy == "small", "release-policy", "must be default or small")
	c.intBetween("max-body-bytes", r.MaxBodyBytes, 1<<10, 64<<20)
	c.intBetween("max-header-bytes", int64(r.MaxHeaderBytes), 1<<10, 1<<20)
	c.intBetween("prompt-bytes-per-token", int64(r.PromptBytesPerToken), 1, 16)
	c.intBetween("default-max-tokens", r.DefaultMaxTokens, 1, 1<<20)
	c.intBetween("org-stream-bytes", r.OrgStreamBytes, 1<<20, 1<<40)
	c.intBetween("process-stream-bytes", r.ProcessStreamBytes, r.OrgStreamBytes, 1<<40)
	c.intBetween("weight-bytes-per-second", r.WeightBytesPerSecond, 0, 1<<50)
	c.intBetween("weight-transfers", int64(r.WeightTransfers), 1, 1<<16)
	c.durationBetween("order-delay", r.OrderDelay, 0, time.Hour)
	c.durationBetween("header-timeout", r.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.durationBetween("request-timeout", r.RequestTimeout, time.Second, time.Hour)
	c.durationBetween("drain-timeout", r.DrainTimeout, time.Second, 2*time.Hour)
	c.durationBetween("drain-grace", r.DrainGrace, 0, time.Minute)
	c.durationBetween("budget-wait", r.BudgetWait, 0, time.Minute)
	c.durationBetween("queue-wait", r.QueueWait, 0, 5*time.Minute)
	c.durationBetween("slow-reader-after", r.SlowReaderAfter, 100*time.Millisecond, 10*time.Minute)
	return c.faults
}

// DomainID returns the failure domain.
func (r *Router) DomainID() ident.DomainID { return ident.DomainID(r.Domain) }

// Level returns the log level, or info if the setting is not valid.
func (r *Router) Level() slog.Level { return parseLevel(r.LogLevel) }
