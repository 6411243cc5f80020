package store

import (
	"maps"
	"time"
)

// maxRecentWrites is the maximum number of writes that a failover can lose.
const maxRecentWrites = 4096

// write is a write of a field of a hash.
type write struct {
	at    time.Time // time of the write
	key   string
	field string
	value string
}

// data is the data of a store, or of one half of a split store. Each key is in strings or in hashes.
type data struct {
	strings      map[string]string
	hashes       map[string]map[string]string
	expires      map[string]time.Time // expiry times by key; keys without an expiry are missing
	recentWrites []write              // most recent writes of hash fields, oldest first
}

// newData returns the data of an empty store.
func newData() *data {
	return &data{strings: map[string]string{}, hashes: map[string]map[string]string{}, expires: map[string]time.Time{}}
}

// clone returns an independent copy without the recent writes.
func (d *data) clone() *data {
	c := &data{strings: maps.Clone(d.strings), hashes: map[string]map[string]string{}, expires: maps.Clone(d.expires)}
	for key, hash := range d.hashes {
		c.hashes[key] = maps.Clone(hash)
	}
	return c
}

// has reports whether a key exists.
func (d *data) has(key string) bool {
	_, isString := d.strings[key]
	_, isHash := d.hashes[key]
	return isString || isHash
}

// remove removes a key.
func (d *data) remove(key string) {
	delete(d.strings, key)
	delete(d.hashes, key)
	delete(d.expires, key)
}

// removeIfExpired removes a key if it has expired.
func (d *data) removeIfExpired(key string) {
	if at, ok := d.expires[key]; ok && time.Now().After(at) {
		d.remove(key)
	}
}

// setField sets a field of a hash and reports whether the field is new.
func (d *data) setField(key, field, value string) (added bool) {
	hash := d.hashes[key]
	if hash == nil {
		hash = map[string]string{}
		d.hashes[key] = hash
	}
	_, existed := hash[field]
	hash[field] = value
	return !existed
}

// recordWrites records writes for loseWrites. If there are more than maxRecentWrites, it drops the oldest ones.
func (d *data) recordWrites(writes ...write) {
	d.recentWrites = append(d.recentWrites, writes...)
	if len(d.recentWrites) > maxRecentWrites {
		d.recentWrites = append(d.recentWrites[:0], d.recentWrites[maxRecentWrites/2:]...)
	}
}

// loseWrites removes the fields that were written after the time since. It returns the removed writes.
func (d *data) loseWrites(since time.Time) (lost []write) {
	for _, w := range d.recentWrites {
		if w.at.After(since) {
			delete(d.hashes[w.key], w.field)
			lost = append(lost, w)
		}
	}
	return lost
}
