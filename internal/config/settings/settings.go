// Package settings holds the one JSON document that starts a process.
package settings

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Settings is the settings document. Secrets never stand in it in plain
// text: operators' tokens are digests, the peer token is named by file or
// environment variable, and the platform's credentials come from the
// environment variables of the AWS SDK.
type Settings struct {
	// Fleet is the inventory and the rules, for local, demo, check and apply.
	// Daemons read the accepted configuration from the platform instead.
	Fleet    *citronstream.Fleet `json:"Fleet,omitempty"`
	Process  Process             `json:"Process,omitzero"`
	Platform Platform            `json:"Platform,omitzero"`
}

// Process is what one daemon knows about itself. Addresses are IP:port.
type Process struct {
	// Name is the name of the entry, or of the agent's upstream, in the Fleet.
	Name string `json:"Name,omitempty"`
	Zone string `json:"Zone,omitempty"`
	// Listen is the address for callers; the default is 127.0.0.1:8700.
	Listen string `json:"Listen,omitempty"`
	// Admin is the address for operators; the default is 127.0.0.1:8701.
	Admin string `json:"Admin,omitempty"`
	// PeerListen is the address at which an agent takes links from entries;
	// the default is 127.0.0.1:8702.
	PeerListen string `json:"PeerListen,omitempty"`
	// Upstream is the address of the server process beside an agent.
	Upstream string `json:"Upstream,omitempty"`
	// Peers are addresses of entries or agents that are asked for the
	// configuration while the table is down.
	Peers  []string `json:"Peers,omitempty"`
	Tokens Tokens   `json:"Tokens,omitzero"`
	TLS    TLS      `json:"TLS,omitzero"`
}

// Tokens admits operators and peers. Without tokens the process serves them
// on loopback only.
type Tokens struct {
	Operators []Operator `json:"Operators,omitempty"`
	// PeerTokenFile is the path of a file that holds the secret shared by the
	// processes of the fleet; PeerTokenEnv is the environment variable that
	// holds it. At most one of the two is set.
	PeerTokenFile string `json:"PeerTokenFile,omitempty"`
	PeerTokenEnv  string `json:"PeerTokenEnv,omitempty"`
}

// Operator is a person or program that may use the admin address.
type Operator struct {
	Name string `json:"Name"`
	// TokenSHA256 is the hex SHA-256 digest of the operator's token.
	TokenSHA256 string `json:"TokenSHA256"`
}

// TLS names the PEM files of the process's certificate.
type TLS struct {
	CertFile string `json:"CertFile,omitempty"`
	KeyFile  string `json:"KeyFile,omitempty"`
	// ClientCAFile makes client certificates signed by this authority mandatory.
	ClientCAFile string `json:"ClientCAFile,omitempty"`
}

// Protocols of the platform's services.
const (
	ProtocolDynamoDB = "dynamodb"
	ProtocolS3       = "s3"
	ProtocolHTTPSD   = "httpsd"
	ProtocolMemory   = "memory"
)

// Platform names the platform's services. Protocol "memory", the default,
// keeps the state in the process and serves for trials only.
type Platform struct {
	Table    Table    `json:"Table,omitzero"`
	Objects  Objects  `json:"Objects,omitzero"`
	Liveness Liveness `json:"Liveness,omitzero"`
}

// Table is the transactional table service.
type Table struct {
	Protocol string `json:"Protocol,omitempty"` // "dynamodb" or "memory"
	Endpoint string `json:"Endpoint,omitempty"` // URL
	Region   string `json:"Region,omitempty"`   // signing region; the default is "us-east-1"
	Name     string `json:"Name,omitempty"`     // table; the default is "citronstream"
}

// Objects is the object store.
type Objects struct {
	Protocol string `json:"Protocol,omitempty"` // "s3" or "memory"
	Endpoint string `json:"Endpoint,omitempty"` // URL
	Bucket   string `json:"Bucket,omitempty"`   // the default is "citronstream"
}

// Liveness is the platform's list of live and leaving instances.
type Liveness struct {
	Protocol string `json:"Protocol,omitempty"` // "httpsd" or "memory"
	URL      string `json:"URL,omitempty"`
}

// New returns the settings that hold before a document is read.
func New() *Settings {
	return &Settings{
		Process: Process{Listen: "127.0.0.1:8700", Admin: "127.0.0.1:8701", PeerListen: "127.0.0.1:8702"},
		Platform: Platform{
			Table:    Table{Protocol: ProtocolMemory, Region: "us-east-1", Name: "citronstream"},
			Objects:  Objects{Protocol: ProtocolMemory, Bucket: "citronstream"},
			Liveness: Liveness{Protocol: ProtocolMemory},
		},
	}
}

// Decode reads a document over the defaults and returns the faults of its
// form. The bool is false if the text is not JSON. The check package also
// checks the content.
func Decode(data []byte) (*Settings, []strictjson.Fault, bool) {
	se := New()
	de := strictjson.New(strictjson.WithDefault(citronstream.Fleet{Limits: citronstream.DefaultLimits()}))
	faults, ok := de.Decode(data, se)
	return se, faults, ok
}
