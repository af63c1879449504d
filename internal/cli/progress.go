package cli

import (
	"fmt"
	"strings"

	"jasminegate/internal/protocol/adminapi"
)

// clearLine moves the cursor to the start of the line and erases the line.
const clearLine = "\r\x1b[K"

// progress shows the progress of a ticket on one line of the terminal. Without a
// terminal it shows nothing.
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

// progressLine returns the ticket's state, the number of failure domains that have
// applied the ticket, and the names of the others.
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
