package standin

import (
	"io"
	"log"
)

// Quiet drops the complaints of HTTP servers about connections that were cut on purpose.
var Quiet = log.New(io.Discard, "", 0)
