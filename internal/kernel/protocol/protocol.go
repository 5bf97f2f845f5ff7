// Package protocol is the registry of upstream protocols. A protocol registers
// itself in init; Service.Protocol selects it by name.
package protocol

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/registry"
)

var protocols = registry.New[citronstream.Protocol]("upstream protocol")

// Register adds a protocol. It panics if the name is taken.
func Register(name string, pr citronstream.Protocol) { protocols.Register(name, pr) }

// Get returns the protocol of that name, or an error that lists the known names.
func Get(name string) (citronstream.Protocol, error) { return protocols.Get(name) }

// Names returns the registered names in order.
func Names() []string { return protocols.Names() }
