package command_test

import "flag"

var update = flag.Bool("update", false, "regenerate the expected output of the sessions")
