package standin

import (
	"io"
	"log"
)

// DiscardLog drops the complaints of HTTP servers about connections that were cut on purpose.
var DiscardLog = log.New(io.Discard, "", 0)
