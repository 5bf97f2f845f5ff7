// Package settings defines the JSON settings document of a process.
package settings

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Settings is the settings document. It contains no secrets in plain text: operators'
// tokens are digests, the peer token is in a file or an environment variable, and the
// platform's credentials come from the environment variables of the AWS SDK.
type Settings struct {
	// Fleet is the inventory and its rules, used by the commands local, demo, check and
	// apply. Daemons read the accepted configuration from the platform instead.
	Fleet    *citronstream.Fleet `json:"Fleet,omitempty"`
	Process  Process             `json:"Process,omitzero"`
	Platform Platform            `json:"Platform,omitzero"`
}

// Process holds the settings of one daemon. Addresses are IP:port.
type Process struct {
	// Name is the name of the entry, or of the agent's upstream, in the Fleet.
	Name string `json:"Name,omitempty"`
	Zone string `json:"Zone,omitempty"`
	// Listen is the address for callers; the default is 127.0.0.1:8700.
	Listen string `json:"Listen,omitempty"`
	// Admin is the address for operators; the default is 127.0.0.1:8701.
	Admin string `json:"Admin,omitempty"`
	// PeerListen is the address at which an agent accepts links from entries; the default
	// is 127.0.0.1:8702.
	PeerListen string `json:"PeerListen,omitempty"`
	// Upstream is the address of the server process that an agent runs beside.
	Upstream string `json:"Upstream,omitempty"`
	// Peers are addresses of entries or agents to read the configuration from while the
	// table is down.
	Peers  []string `json:"Peers,omitempty"`
	Tokens Tokens   `json:"Tokens,omitzero"`
	TLS    TLS      `json:"TLS,omitzero"`
}

// Tokens authenticate operators and peers. Without tokens the process serves them on
// loopback only.
type Tokens struct {
	Operators []Operator `json:"Operators,omitempty"`
	// PeerTokenFile is the path of the file with the secret shared by the processes of the
	// fleet; PeerTokenEnv is the environment variable with it. At most one is set.
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
	// ClientCAFile requires client certificates signed by this authority.
	ClientCAFile string `json:"ClientCAFile,omitempty"`
}

// Protocols of the platform's services.
const (
	ProtocolDynamoDB = "dynamodb"
	ProtocolS3       = "s3"
	ProtocolHTTPSD   = "httpsd"
	ProtocolMemory   = "memory"
)

// Platform configures the platform's services. Protocol "memory", the default, keeps the
// state in the process and is for tests only.
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

// New returns the default settings.
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

// Decode decodes a document over the defaults and returns its syntax and type errors.
// The bool is false if the text is not JSON. Package check also checks the content.
func Decode(data []byte) (*Settings, []strictjson.Fault, bool) {
	se := New()
	de := strictjson.New(strictjson.WithDefault(citronstream.Fleet{Limits: citronstream.DefaultLimits()}))
	faults, ok := de.Decode(data, se)
	return se, faults, ok
}
