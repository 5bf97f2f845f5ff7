// Package citronstream holds the data, the interfaces and the verdict type
// that the packages under internal share. It has no behaviour of its own
// beyond small helpers on that data.
package citronstream
