// Command baobabd runs one entry node.
package main

func main() {}
