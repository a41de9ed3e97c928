// Command vanillasail runs a node of the load balancer and its tools.
package main

func main() {}
