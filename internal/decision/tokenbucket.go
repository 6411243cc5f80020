package decision

// tokenBucket is a level of tokens at an instant. The caller gives rate and burst.
type tokenBucket struct {
	level float64
	at    Time
}

// refill adds the tokens since the last refill, at a rate a second and up to burst.
func (b *tokenBucket) refill(now Time, rate, burst float64) {
	b.level = min(b.level+rate*seconds(now-b.at), burst)
	b.at = now
}
