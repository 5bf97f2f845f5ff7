package check

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/citronstream/citronstream/internal/config/settings"
)

// faultAt records a fault outside the Fleet.
func (ru *run) faultAt(path, format string, args ...any) { ru.record(path, false, format, args...) }

func (ru *run) process(pr *settings.Process) {
	if pr.Name != "" && !validName.MatchString(pr.Name) {
		ru.faultAt("Process.Name", "invalid name %q", truncate(pr.Name))
	}
	if _, ok := ru.zones[pr.Zone]; pr.Zone != "" && ru.fl != nil && !ok && !ru.unreadableNames["Regions"] {
		ru.faultAt("Process.Zone", "unknown zone %q", truncate(pr.Zone))
	}
	seen := make(map[string]string)
	for _, li := range []struct{ key, address string }{
		{"Process.Listen", pr.Listen}, {"Process.Admin", pr.Admin}, {"Process.PeerListen", pr.PeerListen},
	} {
		if problem := addressProblem(li.address, true); problem != "" {
			ru.faultAt(li.key, "%s", problem)
		} else if li.key == "Process.PeerListen" && li.address == settings.New().Process.PeerListen {
			continue // entries don't listen on the default, so it doesn't collide
		} else if first, ok := seen[li.address]; ok {
			ru.faultAt(li.key, "address %s is taken by %s", li.address, first)
		} else {
			seen[li.address] = li.key
		}
	}
	if pr.Upstream != "" {
		ru.checkDial("Process.Upstream", pr.Upstream)
	}
	for i, peer := range pr.Peers {
		ru.checkDial(indexed("Process.Peers", i), peer)
	}
	ru.tokens(&pr.Tokens)
	ru.tls(&pr.TLS)
}

func (ru *run) checkDial(path, address string) {
	if problem := addressProblem(address, false); problem != "" {
		ru.faultAt(path, "%s", problem)
	}
}

var envName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,127}$`)

// tokens checks the tokens. No message contains a value, because it may be a secret
// under the wrong key.
func (ru *run) tokens(to *settings.Tokens) {
	names, digests := make(map[string]int), make(map[string]int)
	for i, op := range to.Operators {
		path := indexed("Process.Tokens.Operators", i)
		if !validName.MatchString(op.Name) {
			ru.faultAt(path+".Name", "missing or invalid name")
		} else if first, ok := names[op.Name]; ok {
			ru.faultAt(path+".Name", "duplicate name %q, first at %s", op.Name, indexed("Process.Tokens.Operators", first))
		} else {
			names[op.Name] = i
		}
		key := strings.ToLower(op.TokenSHA256)
		if !hexDigest.MatchString(key) {
			ru.faultAt(path+".TokenSHA256", "not a SHA-256 digest of 64 hex digits")
		} else if first, ok := digests[key]; ok {
			ru.faultAt(path+".TokenSHA256", "same token as %s, so operators can't be told apart", indexed("Process.Tokens.Operators", first))
		} else {
			digests[key] = i
		}
	}
	if to.PeerTokenFile != "" && to.PeerTokenEnv != "" {
		ru.faultAt("Process.Tokens.PeerTokenEnv", "set together with PeerTokenFile, want one of them")
	}
	if to.PeerTokenEnv != "" && !envName.MatchString(to.PeerTokenEnv) {
		ru.faultAt("Process.Tokens.PeerTokenEnv", "not the name of an environment variable")
	}
}

func (ru *run) tls(tl *settings.TLS) {
	if (tl.CertFile == "") != (tl.KeyFile == "") {
		ru.faultAt("Process.TLS", "CertFile and KeyFile are set together or not at all")
	}
	if tl.ClientCAFile != "" && tl.CertFile == "" {
		ru.faultAt("Process.TLS.ClientCAFile", "has no effect without CertFile")
	}
}

func (ru *run) platform(pl *settings.Platform) {
	ru.service("Platform.Table", "Endpoint", pl.Table.Protocol, settings.ProtocolDynamoDB, pl.Table.Endpoint)
	ru.service("Platform.Objects", "Endpoint", pl.Objects.Protocol, settings.ProtocolS3, pl.Objects.Endpoint)
	ru.service("Platform.Liveness", "URL", pl.Liveness.Protocol, settings.ProtocolHTTPSD, pl.Liveness.URL)
	if pl.Table.Protocol == settings.ProtocolDynamoDB && pl.Table.Name == "" {
		ru.faultAt("Platform.Table.Name", "missing")
	}
	if pl.Table.Protocol == settings.ProtocolDynamoDB && pl.Table.Region == "" {
		ru.faultAt("Platform.Table.Region", "missing")
	}
	if pl.Objects.Protocol == settings.ProtocolS3 && pl.Objects.Bucket == "" {
		ru.faultAt("Platform.Objects.Bucket", "missing")
	}
}

func (ru *run) service(path, key, protocol, remote, address string) {
	switch protocol {
	case settings.ProtocolMemory:
		if address != "" {
			ru.faultAt(path+"."+key, "has no effect with Protocol %q", protocol)
		}
		return
	case remote:
	default:
		ru.faultAt(path+".Protocol", "unknown protocol %q, known: %s, %s", truncate(protocol), remote, settings.ProtocolMemory)
		return
	}
	parsed, err := url.Parse(address)
	// The message omits the URL, which may contain a password.
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Hostname() == "" {
		ru.faultAt(path+"."+key, "not an http or https URL")
		return
	}
	if parsed.User != nil {
		ru.faultAt(path+"."+key, "contains a user or password; credentials come from the environment")
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		ru.record(path+"."+key, true, "%q is a host name, so the process depends on a resolver", truncate(parsed.Hostname()))
	}
}
