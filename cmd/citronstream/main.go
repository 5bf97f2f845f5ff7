// Command citronstream serves multi-stage model pipelines and plain services.
package main

func main() {}
