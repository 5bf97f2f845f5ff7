// Command citronstream serves multi-stage model pipelines and plain services.
package main

import (
	"os"

	"github.com/citronstream/citronstream/internal/cli/root"
)

func main() { os.Exit(root.New().Run(os.Args[1:])) }
