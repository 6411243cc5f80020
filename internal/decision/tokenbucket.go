package decision

// tokenBucket is a level of tokens as of an instant. Rate and burst are those of whoever asks.
type tokenBucket struct {
	level float64
	at    Time
}

// refill adds what came in since the last time, at so many tokens a second and up to burst.
func (b *tokenBucket) refill(now Time, rate, burst float64) {
	b.level = min(b.level+rate*seconds(now-b.at), burst)
	b.at = now
}
