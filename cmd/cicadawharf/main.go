// Command cicadawharf routes requests to endpoints and places gang jobs on
// workers, and is the operators' and callers' tool for it.
package main

func main() {}
