// The program of case 5 of the second review; see claim.txt.
package main

import (
	"os"

	"dunestand/review/standin2"
)

func main() { os.Exit(standin2.Run("hung-cancel", "review/5/record.txt")) }
