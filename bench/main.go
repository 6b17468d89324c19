// Command bench loads a deployment and measures it.
package main

func main() {}
