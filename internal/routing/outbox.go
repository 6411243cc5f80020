package routing

// maxQueuedMessages is the number of peer messages that may queue while the delivery of an earlier one blocks. Further
// messages are dropped: peers do not rely on the delivery of any message.
const maxQueuedMessages = 1 << 10

// outbox queues peer messages and the interval summary. They are delivered without the Router's lock: a socket that blocks
// must not delay requests. Router.mu guards the outbox.
type outbox struct {
	messages   []peerMessage
	summary    []byte // latest summary in the queue; nil for none
	delivering bool   // whether a goroutine runs deliver's loop, which also delivers messages added meanwhile
}

// peerMessage is a message to the node with the number peer, or to all other nodes if peer is negative.
type peerMessage struct {
	peer    int
	payload []byte
}

// addMessage queues a copy of a message.
func (o *outbox) addMessage(peer int, payload []byte) {
	o.messages = append(o.messages, peerMessage{peer, append([]byte(nil), payload...)})
}

// setSummary queues a copy of a summary. It replaces an earlier one that is still in the queue.
func (o *outbox) setSummary(summary []byte) { o.summary = append([]byte(nil), summary...) }

// empty reports whether nothing is queued.
func (o *outbox) empty() bool { return len(o.messages) == 0 && o.summary == nil }

// dropExcess drops the newest messages beyond maxQueuedMessages.
func (o *outbox) dropExcess() { o.messages = o.messages[:min(len(o.messages), maxQueuedMessages)] }

// takeAll empties the outbox and returns its content.
func (o *outbox) takeAll() (messages []peerMessage, summary []byte) {
	messages, summary = o.messages, o.summary
	o.messages, o.summary = nil, nil
	return messages, summary
}

// deliver delivers the queued messages in order, then the summary, and releases the lock. The caller must hold the lock,
// which is free during each delivery. If another goroutine already delivers, deliver returns at once.
func (r *Router) deliver() {
	o := &r.outbox
	if o.delivering {
		o.dropExcess()
		r.mu.Unlock()
		return
	}
	for o.delivering = true; !o.empty(); {
		messages, summary := o.takeAll()
		r.mu.Unlock()
		for _, m := range messages {
			r.cfg.SendToPeer(m.peer, m.payload)
		}
		if summary != nil {
			r.cfg.LogSummary(summary)
		}
		r.mu.Lock()
	}
	o.delivering = false
	r.mu.Unlock()
}
