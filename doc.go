// Package citronstream defines the data types, interfaces and verdicts that the
// packages under internal share, with small helpers on them.
package citronstream
