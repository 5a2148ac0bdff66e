package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// commitTimeout bounds the wait for a membership change to be committed, and
// for a transfer of leadership to be visible.
const commitTimeout = 10 * time.Second

// Members returns the members of the replicated group.
func (c *Client) Members(ctx context.Context) Report {
	report := c.Status(ctx)
	status, ok := report.Answer.(modeler.Status)
	if ok {
		report.Answer = modeler.MembersAnswer{Members: status.Members, Pending: status.Pending}
	}
	return report
}

// AddMember adds a host with an empty data folder to the group as a learner.
func (c *Client) AddMember(ctx context.Context, id modeler.MemberID, address string) Report {
	if !isValidAddress(address) {
		return usageReport(invalidAddressText(address))
	}
	return c.changeMembers(ctx, "add", modeler.Member{ID: id, Address: address})
}

// PromoteMember turns a learner that has caught up into a voter.
func (c *Client) PromoteMember(ctx context.Context, id modeler.MemberID) Report {
	return c.changeMembers(ctx, "promote", modeler.Member{ID: id})
}

// RemoveMember removes a member from the group permanently.
func (c *Client) RemoveMember(ctx context.Context, id modeler.MemberID) Report {
	return c.changeMembers(ctx, "remove", modeler.Member{ID: id})
}

// Transfer transfers leadership to another voter and waits until it leads.
func (c *Client) Transfer(ctx context.Context, id modeler.MemberID) Report {
	report := c.changeMembers(ctx, "transfer", modeler.Member{ID: id})
	if report.Code != Done {
		return report
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		status, ok := c.Status(ctx).Answer.(modeler.Status)
		if ok && status.Leader == id {
			report.addNote("member %d leads in term %d", id, status.Term)
			return report
		}
		if !sleepContext(ctx, pollInterval) {
			report.Code = UnknownOutcome
			report.addNote("member %d was not seen to lead within %s", id, commitTimeout)
			return report
		}
	}
}

func (c *Client) changeMembers(ctx context.Context, verb string, member modeler.Member) Report {
	body, err := json.Marshal(struct {
		Verb    string           `json:"verb"`
		ID      modeler.MemberID `json:"id"`
		Address string           `json:"address,omitempty"`
	}{verb, member.ID, member.Address})
	if err != nil {
		return usageReport(err.Error())
	}
	var answer modeler.MembersAnswer
	report := c.send(ctx, operation{
		method: http.MethodPost,
		path:   "/v1/members",
		body:   body,
		decode: func(body []byte) error { answer = modeler.MembersAnswer{}; return json.Unmarshal(body, &answer) },
	})
	if report.Code == UnknownOutcome {
		report.addNote("ask with members list whether the change has happened")
	}
	report = report.withAnswer(answer)
	if report.Code != Done || !answer.Pending {
		return report
	}
	return c.awaitMemberChange(ctx, report, verb, member.ID)
}

// awaitMemberChange waits until a membership change is committed; a new leader may
// discard it before that.
func (c *Client) awaitMemberChange(ctx context.Context, report Report, verb string, id modeler.MemberID) Report {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for sleepContext(ctx, pollInterval) {
		latest := c.Members(ctx)
		answer, ok := latest.Answer.(modeler.MembersAnswer)
		if !ok || answer.Pending {
			continue
		}
		report.Answer, report.Host = answer, latest.Host
		if isChangeApplied(answer, verb, id) {
			return report
		}
		report.Code = UnknownOutcome
		report.addNote("the leader changed and the group shows no sign of the change; send it again")
		return report
	}
	report.Code = UnknownOutcome
	report.addNote("the change was not seen committed within %s", commitTimeout)
	return report
}

func isChangeApplied(a modeler.MembersAnswer, verb string, id modeler.MemberID) bool {
	for _, m := range a.Members {
		if m.ID == id {
			return verb == "add" || verb == "promote" && !m.Learner
		}
	}
	return verb == "remove"
}
