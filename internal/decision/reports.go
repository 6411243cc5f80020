package decision

import "cherrygap/internal/numeric"

// usageReports collects and sends reports on customers' demand and use to peers.
//
//   - Inputs: units requested, admitted and settled here, by customer.
//   - State: the customers with an unsent report.
//   - Rule: in a fleet where all nodes report to all, a report carries the demand of each customer near its quota.
//     With quota owners, each owner receives the use that it did not grant.
//   - Protects against: peers that receive more messages than they can process. Excess reports wait.
//   - Trade-off: if thousands of customers are near their quotas, reports are late and shares are near the even share.
type usageReports struct {
	config  *config
	pending []customerSlot // customers with an unsent report
}

const (
	reportInterval  = controlInterval / 3 // time between two usage reports to peers
	reportRateRatio = 0.5                 // share of the peer message rate that usage reports may use
	maxMessageBytes = 256                 // largest payload of a peer message
	maxEntryBytes   = 56                  // largest encoding of one report or suspicion
)

// add adds demand and use, in units, to the unsent report on a customer.
func (u *usageReports) add(c *customer, i customerSlot, demand, use float64) {
	c.reportDemand += demand
	c.reportUse += use
	if !c.reportPending {
		c.reportPending = true
		u.pending = append(u.pending, i)
	}
}

// write writes the pending reports to the outbox.
func (u *usageReports) write(out *outbox, customers []customer, owner *quotaOwner, quota *tenantQuota, now Time) {
	if u.config.usesOwners {
		u.writeToOwners(out, customers, owner)
	} else {
		u.writeToAll(out, customers, quota, now)
	}
}

// writeToOwners writes one message for each pending customer to its owner.
func (u *usageReports) writeToOwners(out *outbox, customers []customer, owner *quotaOwner) {
	for _, i := range u.pending {
		c := &customers[i]
		c.reportPending = false
		to := owner.of(c)
		if to == u.config.self { // the customer's set has changed
			continue
		}
		out.add(to, []byte{kindUse})
		out.appendReport(c.takeReport())
	}
	u.pending = u.pending[:0]
}

// writeToAll writes messages on the pending customers to all peers, within the message rate. It writes at least one
// message: peers would otherwise assume that this node sends no reports.
func (u *usageReports) writeToAll(out *outbox, customers []customer, quota *tenantQuota, now Time) {
	out.add(AllPeers, []byte{kindUse})
	rate := reportRateRatio * u.config.peerRate * seconds(reportInterval) / float64(u.config.nodes-1)
	limit := len(out.messages) + numeric.Truncate[int](rate)
	for k, i := range u.pending {
		if len(out.messages) > limit {
			u.pending = append(u.pending[:0], u.pending[k:]...)
			return
		}
		c := &customers[i]
		c.reportPending = false
		if quota.farBelowQuota(c, now) {
			c.reportDemand = 0
			continue
		}
		if len(out.last().payload)+maxEntryBytes > maxMessageBytes {
			out.add(AllPeers, []byte{kindUse})
		}
		out.appendReport(c.takeReport())
	}
	u.pending = u.pending[:0]
}

// takeReport returns the unsent report on a customer and resets it.
func (c *customer) takeReport() customerReport {
	report := c.report()
	report.demand, report.use = c.reportDemand, c.reportUse
	c.reportDemand, c.reportUse = 0, 0
	return report
}
