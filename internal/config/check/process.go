package check

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/citronstream/citronstream/internal/config/settings"
)

// own records a fault outside the Fleet.
func (ru *run) own(path, format string, args ...any) { ru.record(path, false, format, args...) }

func (ru *run) process(pr *settings.Process) {
	if pr.Name != "" && !validName.MatchString(pr.Name) {
		ru.own("Process.Name", "invalid name %q", clip(pr.Name))
	}
	if _, ok := ru.zones[pr.Zone]; pr.Zone != "" && ru.fl != nil && !ok && !ru.noNames["Regions"] {
		ru.own("Process.Zone", "unknown zone %q", clip(pr.Zone))
	}
	seen := make(map[string]string)
	for _, own := range []struct{ key, address string }{
		{"Process.Listen", pr.Listen}, {"Process.Admin", pr.Admin}, {"Process.PeerListen", pr.PeerListen},
	} {
		if problem := addressProblem(own.address, true); problem != "" {
			ru.own(own.key, "%s", problem)
		} else if own.key == "Process.PeerListen" && own.address == settings.New().Process.PeerListen {
			continue // an entry leaves the default unused, so it takes no address from others
		} else if first, ok := seen[own.address]; ok {
			ru.own(own.key, "address %s is taken by %s", own.address, first)
		} else {
			seen[own.address] = own.key
		}
	}
	if pr.Upstream != "" {
		ru.dial("Process.Upstream", pr.Upstream)
	}
	for i, peer := range pr.Peers {
		ru.dial(indexed("Process.Peers", i), peer)
	}
	ru.tokens(&pr.Tokens)
	ru.tls(&pr.TLS)
}

func (ru *run) dial(path, address string) {
	if problem := addressProblem(address, false); problem != "" {
		ru.own(path, "%s", problem)
	}
}

var envName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,127}$`)

// tokens never puts a value into a fault, because it may be a secret under the wrong key.
func (ru *run) tokens(to *settings.Tokens) {
	names, digests := make(map[string]int), make(map[string]int)
	for i, op := range to.Operators {
		path := indexed("Process.Tokens.Operators", i)
		if !validName.MatchString(op.Name) {
			ru.own(path+".Name", "missing or invalid name")
		} else if first, ok := names[op.Name]; ok {
			ru.own(path+".Name", "duplicate name %q, first at %s", op.Name, indexed("Process.Tokens.Operators", first))
		} else {
			names[op.Name] = i
		}
		key := strings.ToLower(op.TokenSHA256)
		if !hexDigest.MatchString(key) {
			ru.own(path+".TokenSHA256", "not a SHA-256 digest of 64 hex digits")
		} else if first, ok := digests[key]; ok {
			ru.own(path+".TokenSHA256", "same token as %s, so operators can't be told apart", indexed("Process.Tokens.Operators", first))
		} else {
			digests[key] = i
		}
	}
	if to.PeerTokenFile != "" && to.PeerTokenEnv != "" {
		ru.own("Process.Tokens.PeerTokenEnv", "set together with PeerTokenFile, want one of them")
	}
	if to.PeerTokenEnv != "" && !envName.MatchString(to.PeerTokenEnv) {
		ru.own("Process.Tokens.PeerTokenEnv", "not the name of an environment variable")
	}
}

func (ru *run) tls(tl *settings.TLS) {
	if (tl.CertFile == "") != (tl.KeyFile == "") {
		ru.own("Process.TLS", "CertFile and KeyFile are set together or not at all")
	}
	if tl.ClientCAFile != "" && tl.CertFile == "" {
		ru.own("Process.TLS.ClientCAFile", "has no effect without CertFile")
	}
}

func (ru *run) platform(pl *settings.Platform) {
	ru.service("Platform.Table", "Endpoint", pl.Table.Protocol, settings.ProtocolDynamoDB, pl.Table.Endpoint)
	ru.service("Platform.Objects", "Endpoint", pl.Objects.Protocol, settings.ProtocolS3, pl.Objects.Endpoint)
	ru.service("Platform.Liveness", "URL", pl.Liveness.Protocol, settings.ProtocolHTTPSD, pl.Liveness.URL)
	if pl.Table.Protocol == settings.ProtocolDynamoDB && pl.Table.Name == "" {
		ru.own("Platform.Table.Name", "missing")
	}
	if pl.Table.Protocol == settings.ProtocolDynamoDB && pl.Table.Region == "" {
		ru.own("Platform.Table.Region", "missing")
	}
	if pl.Objects.Protocol == settings.ProtocolS3 && pl.Objects.Bucket == "" {
		ru.own("Platform.Objects.Bucket", "missing")
	}
}

func (ru *run) service(path, key, protocol, remote, address string) {
	switch protocol {
	case settings.ProtocolMemory:
		if address != "" {
			ru.own(path+"."+key, "has no effect with Protocol %q", protocol)
		}
		return
	case remote:
	default:
		ru.own(path+".Protocol", "unknown protocol %q, known: %s, %s", clip(protocol), remote, settings.ProtocolMemory)
		return
	}
	parsed, err := url.Parse(address)
	// The URL is not repeated, because it may hold a password.
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Hostname() == "" {
		ru.own(path+"."+key, "not an http or https URL")
		return
	}
	if parsed.User != nil {
		ru.own(path+"."+key, "holds a user or password; credentials come from the environment")
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		ru.record(path+"."+key, true, "%q is a host name, so the process depends on a resolver", clip(parsed.Hostname()))
	}
}
