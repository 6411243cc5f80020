package decision

// usageReports tells peers of customers. Where all nodes hear all, each tells all others of its demand; where customers
// have owners, it tells these of what passed without asking. It guards against peers that get more messages than they
// take in: what does not fit waits. It could harm where thousands of customers are near their quota at once: their
// reports are then late, and quotas kept by even parts.
type usageReports struct {
	config  *config
	pending []customerSlot // customers to report
}

// write writes the reports to owners; or, where all nodes hear all, those on customers whose rate is past half of
// their even part, of which there goes one message out even if empty, so that silence means something.
func (u *usageReports) write(out *outbox, customers []customer, owner *quotaOwner, quota *tenantQuota, now Time) {
	owners := u.config.owners
	if !owners {
		out.add(AllPeers, []byte{kindUse})
	}
	rate := reportShare * u.config.peerRate * seconds(reportEvery) / float64(u.config.nodes-1)
	most := len(out.messages) + int(rate)
	keep := u.pending[:0]
	for k, i := range u.pending {
		if !owners && len(out.messages) > most { // the rest waits: peers take in no more
			keep = append(keep, u.pending[k:]...)
			break
		}
		c := &customers[i]
		c.reportPending = false
		to := AllPeers
		if owners {
			if to = owner.of(c); to == u.config.self { // its set has changed
				continue
			}
		} else if quota.farFrom(c, now) {
			c.reportDemand = 0
			continue
		}
		if owners || len(out.messages[len(out.messages)-1].payload)+maxEntry > maxMessage {
			out.add(to, []byte{kindUse})
		}
		report := c.report()
		report.demand, report.use = c.reportDemand, c.reportUse
		m := &out.messages[len(out.messages)-1]
		m.payload = appendReport(m.payload, report)
		c.reportDemand, c.reportUse = 0, 0
	}
	u.pending = keep
}

// note adds to what is to be reported of a customer.
func (u *usageReports) note(c *customer, i customerSlot, demand, use float64) {
	c.reportDemand, c.reportUse = c.reportDemand+demand, c.reportUse+use
	if !c.reportPending {
		c.reportPending = true
		u.pending = append(u.pending, i)
	}
}
