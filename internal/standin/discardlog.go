package standin

import (
	"io"
	"log"
)

// DiscardLog is for HTTP servers whose connections a test cuts off on purpose: it
// discards the errors that they log.
var DiscardLog = log.New(io.Discard, "", 0)
