package routing

// maxQueuedMessages is how many messages may wait while an earlier one is being sent. Any message to a peer may get lost.
const maxQueuedMessages = 1 << 10

// outbox holds what the engine has for other nodes and for the log until the Router's lock is free: a socket that blocks
// must hold up no request.
type outbox struct {
	messages []peerMessage
	summary  []byte // the last one; nil for none
	busy     bool   // a goroutine is in deliver's loop, and delivers what is added meanwhile
}

type peerMessage struct {
	peer    int // number of the node, below 0 for all others
	payload []byte
}

// addMessage appends a copy of a message.
func (o *outbox) addMessage(peer int, payload []byte) {
	o.messages = append(o.messages, peerMessage{peer, append([]byte(nil), payload...)})
}

// setSummary keeps a copy of a summary, in place of one that was not delivered yet.
func (o *outbox) setSummary(summary []byte) { o.summary = append([]byte(nil), summary...) }

func (o *outbox) empty() bool { return len(o.messages) == 0 && o.summary == nil }

// bound drops the newest messages past maxQueuedMessages.
func (o *outbox) bound() { o.messages = o.messages[:min(len(o.messages), maxQueuedMessages)] }

// takeAll empties the outbox.
func (o *outbox) takeAll() (messages []peerMessage, summary []byte) {
	messages, summary = o.messages, o.summary
	o.messages, o.summary = nil, nil
	return messages, summary
}

// deliver is called with the lock held and frees it. It delivers what is in the outbox, in order, without the lock; where
// another goroutine is at that already, it leaves all to it.
func (r *Router) deliver() {
	o := &r.outbox
	if o.busy {
		o.bound()
		r.mu.Unlock()
		return
	}
	for o.busy = true; !o.empty(); {
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
	o.busy = false
	r.mu.Unlock()
}
