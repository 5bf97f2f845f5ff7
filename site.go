package citronstream

import "time"

// Site has the settings that the platform gives a process at its start: its name,
// its addresses and the bounds that the operators promise.
type Site struct {
	Process string // unique among the running processes
	Zone    string
	Region  string
	Regions map[string]string // of the zones of the site
	Address string            // IP address of the instance

	// Callers, Ready and Peers are the addresses to listen at, as host:port.
	Callers string
	Ready   string
	Peers   string
	// Metrics is the address at which metrics are served; empty means not at all.
	Metrics string
	// Seeds are peer addresses of at most three other entries. They may be out of date.
	Seeds []string

	Cores    float64 // processor time that the process may use, in seconds a second
	LinkRate float64 // of the instance's network link, in Mbit/s
	// Memory, in bytes, and Descriptors are what the process may use; 0 means not stated.
	Memory      int
	Descriptors int
	Clients     ClientLimits

	Heartbeat time.Duration // interval of an upstream's writes to its row
	Bounds    Bounds
	Store     string // address of the platform's store, host:port
}

// Bounds are the time and retry limits that the operators of a site promise.
type Bounds struct {
	Drain       time.Duration // time from the store's acknowledgement to the last request to a leaving upstream
	ConfigApply time.Duration // time from the store's acknowledgement to a configuration's use by all
	Grace       time.Duration // time from SIGTERM to SIGKILL
	RetryWindow time.Duration // window of the retry budget
	RetryRatio  float64       // extra attempts as a share of a service's requests
	RetryExtra  int           // extra attempts that a window always allows, over all processes
	// An upstream that is cold gets at most ServiceSpec.ColdRate times ColdOverage plus
	// ColdSlack requests within any second, from all processes together.
	ColdOverage float64
	ColdSlack   float64
	// Evacuate is the time from the store's acknowledgement of an evacuation to the last
	// request to its zone; 0 when it is not stated.
	Evacuate time.Duration
}

// ClientLimits bound what clients may hold of a process. 0 means the default.
type ClientLimits struct {
	Memory          int           // bytes
	Connections     int           // open at the same time
	HeaderLines     int           // of one request
	HeaderLineBytes int           // length of one line
	BodyStall       time.Duration // longest time in which a body brings almost nothing
	ReadStall       time.Duration // longest time in which a client reads almost nothing of its answer
}
