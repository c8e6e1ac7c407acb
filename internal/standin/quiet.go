package standin

import (
	"io"
	"log"
)

// quiet drops the complaints of HTTP servers about connections that were cut on purpose.
var quiet = log.New(io.Discard, "", 0)
