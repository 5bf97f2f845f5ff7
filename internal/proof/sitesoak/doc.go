// Package sitesoak runs gateways as processes against the stand-in of the
// users' platform, injects faults from outside and checks what callers and
// upstreams see. It has tests only.
package sitesoak
