package envoyconf

import (
	_ "embed"
	"fmt"
	"net"
	"slices"
	"strings"
	"text/template"
	"time"

	"cranegrade/internal/extproc/stream"
)

// Mode is a way for a proxy to ask the processor and to follow its decision.
type Mode string

// The modes, as proxy-config names them.
const (
	// ByHeader asks once for each request and makes no retries. The host is the address in the header that the processor
	// sets (a cluster of type ORIGINAL_DST).
	ByHeader Mode = "header"
	// ByMetadata is ByHeader with dynamic metadata, for clusters whose endpoints the proxy knows (override_host).
	ByMetadata Mode = "metadata"
	// Fallbacks has the proxy retry idempotent requests at the next endpoint of the processor's list.
	Fallbacks Mode = "fallbacks"
	// EveryTry asks for each attempt, by a filter behind an internal listener. The processor says in the response of a
	// failed attempt whether the outer listener may retry.
	EveryTry Mode = "every-try"
)

// Modes are all modes.
var Modes = []Mode{ByHeader, ByMetadata, Fallbacks, EveryTry}

// Defaults of Options.
const (
	defaultListen         = "127.0.0.1:10000"
	defaultRetries        = 2
	defaultConnectTimeout = 250 * time.Millisecond
)

// timeoutMargin is how much longer the proxy waits than the processor, for a decision and for a response, so that it is
// the processor that times out.
const timeoutMargin = 50 * time.Millisecond

const (
	internalListenerName = "every-try" // the internal listener, and the cluster that leads to it
	timeLeftHeader       = "x-time-left"
)

// Class is a class of requests. Its requests are those whose path begins with its name.
type Class struct {
	Name       string
	Deadline   time.Duration
	Idempotent bool
}

// Options are what Build makes a configuration of. Zero values stand for the defaults; Mode and Processor are required.
type Options struct {
	Mode           Mode
	Listen         string // host:port for clients; default 127.0.0.1:10000
	Processor      string // host:port
	Settings       ProcessorSettings
	Classes        []Class
	Retries        int           // limit of retries of a request, in the modes that have any; default 2
	Endpoints      []string      // host:port of each endpoint, for modes metadata and fallbacks; nil means by EDS over ADS
	MaxStreams     int64         // limit of open streams to the processor; 0 means the proxy's own default
	ConnectTimeout time.Duration // default 250 ms
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = defaultListen
	}
	if o.Retries == 0 {
		o.Retries = defaultRetries
	}
	if o.Mode == Fallbacks {
		o.Retries = min(o.Retries, o.Settings.MaxFallbacks) // beyond the list a host would be picked without a decision
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	return o
}

// validate checks that the mode and the processor's settings fit together.
func (o Options) validate() error {
	if !slices.Contains(Modes, o.Mode) {
		return fmt.Errorf("no mode %q: one of %v", o.Mode, Modes)
	}
	switch asksEachAttempt, hasFallbacks := o.Mode == EveryTry, o.Mode == Fallbacks; {
	case o.Settings.Retries && !asksEachAttempt:
		return fmt.Errorf("the processor's file has retries = true, which is for mode %s: in mode %s it would wait for retries that the proxy never asks for",
			EveryTry, o.Mode)
	case asksEachAttempt && !o.Settings.Retries:
		return fmt.Errorf("mode %s needs retries = true in the processor's file", o.Mode)
	case asksEachAttempt && o.Settings.RetryHeader == "":
		return fmt.Errorf("mode %s needs a retry_header in the processor's file", o.Mode)
	case o.Settings.MaxFallbacks > 0 && !hasFallbacks:
		return fmt.Errorf("a pool of the processor's file has fallbacks = %d, which is for mode %s: elsewhere a list of endpoints is not an address",
			o.Settings.MaxFallbacks, Fallbacks)
	case hasFallbacks && o.Settings.MaxFallbacks == 0:
		return fmt.Errorf("mode %s needs fallbacks = N in a pool of the processor's file: without it the list has one endpoint", o.Mode)
	}
	return nil
}

// Build writes the configuration of a proxy that asks a processor: a bootstrap as YAML in which Check finds nothing. An
// error says which option does not fit the processor's settings, or is not an address.
func Build(o Options) ([]byte, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	slices.SortFunc(o.Classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	data := templateData{
		Options:           o,
		AsksEachAttempt:   o.Mode == EveryTry,
		HasFallbacks:      o.Mode == Fallbacks,
		UsesOverrideHost:  o.Mode == ByMetadata || o.Mode == Fallbacks,
		DestinationHeader: stream.DestinationHeader,
		ServedHeader:      stream.ServedHeader,
		SubsetHeader:      stream.SubsetHeader,
		MetadataNamespace: stream.MetadataNamespace,
		InternalListener:  internalListenerName,
		TimeLeftHeader:    timeLeftHeader,
	}
	for _, class := range o.Classes {
		data.longestDeadline = max(data.longestDeadline, class.Deadline)
	}
	var b strings.Builder
	if err := bootstrapTemplate.Execute(&b, data); err != nil {
		return nil, fmt.Errorf("writing the configuration: %w", err)
	}
	return []byte(b.String()), nil
}

// templateData is what the template is executed with.
type templateData struct {
	Options
	AsksEachAttempt, HasFallbacks, UsesOverrideHost bool
	DestinationHeader, ServedHeader, SubsetHeader   string
	MetadataNamespace                               string
	InternalListener                                string
	TimeLeftHeader                                  string
	longestDeadline                                 time.Duration
}

// MessageTimeout is how long the proxy waits for a decision.
func (d templateData) MessageTimeout() string {
	return seconds(d.Settings.DecisionTimeout + timeoutMargin)
}

// LongestTimeout is the time-out of a route that takes requests of all classes.
func (d templateData) LongestTimeout() string { return routeTimeout(d.longestDeadline) }

// RetryingClasses are the classes that need a route of their own, because the proxy may retry them.
func (d templateData) RetryingClasses() (classes []Class) {
	for _, class := range d.Classes {
		if class.Idempotent && d.HasFallbacks {
			classes = append(classes, class)
		}
	}
	return classes
}

// seconds formats a duration as protobuf's JSON has it, to the millisecond.
func seconds(d time.Duration) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", d.Seconds()), "0"), ".") + "s"
}

// routeTimeout is the proxy's time-out for requests with a deadline.
func routeTimeout(deadline time.Duration) string { return seconds(deadline + timeoutMargin) }

// address formats host:port as an Envoy address.
func address(hostPort string) (string, error) {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		return "", fmt.Errorf("%q is no host:port", hostPort)
	}
	return fmt.Sprintf("{ socket_address: { address: %q, port_value: %s } }", host, port), nil
}

//go:embed bootstrap.yaml.tmpl
var bootstrapText string

var bootstrapTemplate = template.Must(template.New("bootstrap").Funcs(template.FuncMap{
	"seconds":      seconds,
	"address":      address,
	"routeTimeout": routeTimeout,
}).Parse(bootstrapText))
