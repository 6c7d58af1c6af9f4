// Command bilberrydeck is an overload control layer for service call graphs.
package main

import (
	"fmt"
	"os"
)

// Version of the program.
const Version = "0.1.0-dev"

func main() {
	if len(os.Args) == 2 && os.Args[1] == "version" {
		fmt.Println(Version)
		return
	}
	fmt.Fprintln(os.Stderr, "usage: bilberrydeck version")
	os.Exit(2)
}
