package node

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/readback"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/platformlog"
)

// publishRetryAfter is the retry delay given to an operator when the platform
// did not confirm a publish.
const publishRetryAfter = time.Second

// postTicket appends the ticket to the platform's log. Publishing the same ticket
// again has no further effect.
func (n *node) postTicket(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, state.MaxTicketBytes))
	if err != nil {
		writeBadRequest(w, "ticket: "+err.Error(), fmt.Sprintf("send one ticket of at most %d bytes as JSON", state.MaxTicketBytes))
		return
	}
	ticket, err := state.DecodeTicket(body)
	if err != nil {
		writeBadRequest(w, errorMessage(err), "correct the ticket; check it with `jasminegate ticket check`")
		return
	}
	content, err := ticket.ContentHash()
	if err != nil {
		writeBadRequest(w, err.Error(), "correct the ticket")
		return
	}
	offset, err := n.configuration.Publish(r.Context(), ticket)
	if err != nil {
		writePublishFailure(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, adminapi.PublishResponse{
		Number:  ticket.Number,
		Content: adminapi.FormatHash(content),
		Offset:  offset,
	})
}

func writePublishFailure(w http.ResponseWriter, err error) {
	if errorx.IsOfType(err, platformlog.ErrTooLarge) {
		writeBadRequest(w, errorMessage(err), "split the ticket")
		return
	}
	problem.Write(w, problem.Problem{
		Status:       http.StatusServiceUnavailable,
		Outcome:      problem.Unknown,
		Detail:       errorMessage(err),
		Remedy:       "publish the same ticket again; a repeat has no further effect",
		RetryAfterMS: publishRetryAfter.Milliseconds(),
	})
}

// getTicket writes the status of one ticket across the failure domains.
func (n *node) getTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["number"], 10, 64)
	if err != nil {
		writeBadRequest(w, "ticket number: "+err.Error(), "give a whole number")
		return
	}
	content, err := parseContentHash(r)
	if err != nil {
		writeBadRequest(w, "content: "+err.Error(), "give the 16 hexadecimal digits that the publish returned")
		return
	}
	now := time.Now()
	summaries := n.members.Summaries(now)
	status := n.configuration.TicketStatus(number, content, summaries, now)
	response := ticketStatus(status, summaries)
	if content != 0 {
		response.Content = adminapi.FormatHash(content)
	}
	writeJSON(w, http.StatusOK, response)
}

// getTickets writes the recent verdicts.
func (n *node) getTickets(w http.ResponseWriter, _ *http.Request) {
	list := adminapi.VerdictList{Verdicts: []adminapi.Verdict{}}
	for _, verdict := range n.configuration.Verdicts() {
		list.Verdicts = append(list.Verdicts, adminapi.Verdict{
			Number:   verdict.Number,
			Content:  adminapi.FormatHash(verdict.ContentHash),
			Position: verdict.Position,
			Outcome:  verdict.Outcome.String(),
			Reason:   verdict.Reason,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

// parseContentHash returns the content hash of the query, 0 if it has none.
func parseContentHash(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get(adminapi.QueryContent)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}

func ticketStatus(status readback.Status, summaries []membership.Summary) adminapi.TicketStatus {
	response := adminapi.TicketStatus{
		Number:   status.Number,
		State:    adminapi.TicketState(status.State),
		Reason:   status.Reason,
		Position: status.Position,
	}
	for _, domain := range status.Domains {
		if !domain.HasFreshSummary {
			response.SinceMS = max(response.SinceMS, time.Duration(domain.Age).Milliseconds())
		}
		response.Domains = append(response.Domains, adminapi.DomainProgress{
			Domain:        domain.Name,
			Members:       int(domain.Members),
			LeastPosition: leastPosition(domain.Name, summaries),
			Laggards:      domain.Laggards,
			AgeMS:         time.Duration(domain.Age).Milliseconds(),
			LeftOut:       domain.LeftOut,
		})
	}
	return response
}

// leastPosition returns the lowest position that a member of the domain may still
// run, by the summaries of all reporters, or 0 without a summary. Unlike
// readback.Domain.LeastPosition it uses the summaries that are not fresh even if
// the domain also has fresh ones.
func leastPosition(domain string, summaries []membership.Summary) uint64 {
	least, found := uint64(0), false
	for _, summary := range summaries {
		if summary.Domain == domain && (!found || summary.LeastPosition < least) {
			least, found = summary.LeastPosition, true
		}
	}
	return least
}

func errorMessage(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
