// Package callers runs a gateway as a process, with little memory and few descriptors,
// against clients and upstreams that do not behave. It has tests only.
package callers
