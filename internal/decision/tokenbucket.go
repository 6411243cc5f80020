package decision

// tokenBucket is a level of tokens as of an instant. Its users pass the rate and the burst to refill.
type tokenBucket struct {
	level float64 // tokens; below 0 while there is a debt
	at    Time    // time of the last refill
}

// refill adds the tokens since the last refill. The rate is in tokens a second, and the level is at most burst.
func (b *tokenBucket) refill(now Time, rate, burst float64) {
	b.level = min(b.level+rate*seconds(now-b.at), burst)
	b.at = now
}
