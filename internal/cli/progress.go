package cli

import (
	"fmt"
	"strings"

	"jasminegate/internal/protocol/adminapi"
)

// clearLine returns to the line's start and erases it.
const clearLine = "\r\x1b[K"

// progress shows on one terminal line how far a ticket is. Without a terminal
// it shows nothing.
type progress struct {
	streams Streams
	shown   bool
}

func newProgress(streams Streams) *progress {
	return &progress{streams: streams}
}

func (p *progress) show(status adminapi.TicketStatus) {
	if !p.streams.ErrIsTerminal {
		return
	}
	p.shown = true
	fmt.Fprint(p.streams.Err, clearLine+progressLine(status))
}

func (p *progress) end() {
	if p.shown {
		fmt.Fprint(p.streams.Err, clearLine)
	}
}

// progressLine names the state and each failure domain that lags behind.
func progressLine(status adminapi.TicketStatus) string {
	reached := 0
	var behind []string
	for _, domain := range status.Domains {
		if status.Position > 0 && domain.LeastPosition >= status.Position {
			reached++
			continue
		}
		behind = append(behind, domain.Domain)
	}
	line := fmt.Sprintf("ticket %d: %s", status.Number, status.State)
	if len(status.Domains) > 0 {
		line += fmt.Sprintf(", %d of %d failure domains", reached, len(status.Domains))
	}
	if len(behind) > 0 {
		line += ", waiting for " + strings.Join(behind, ", ")
	}
	return line
}
