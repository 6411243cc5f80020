package store

import (
	"maps"
	"time"
)

// maxRecentWrites is the largest number of writes that a failover can lose.
const maxRecentWrites = 4096

// write is a write of a field of a hash.
type write struct {
	at    time.Time
	key   string
	field string
	value string
}

// data is the data of a store, or of one half of a split store. A key is in strings or in hashes.
type data struct {
	strings map[string]string
	hashes  map[string]map[string]string
	expires map[string]time.Time // by key; keys without an expiry are missing
	recent  []write              // last writes, oldest first
}

// newData returns the data of an empty store.
func newData() *data {
	return &data{strings: map[string]string{}, hashes: map[string]map[string]string{}, expires: map[string]time.Time{}}
}

// clone returns a copy without the recent writes.
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

// expire removes a key if it has expired.
func (d *data) expire(key string) {
	if at, ok := d.expires[key]; ok && time.Now().After(at) {
		d.remove(key)
	}
}

// setField sets a field of a hash, and reports whether it is new.
func (d *data) setField(key, field, value string) (added bool) {
	hash := d.hashes[key]
	if hash == nil {
		hash = map[string]string{}
		d.hashes[key] = hash
	}
	_, had := hash[field]
	hash[field] = value
	return !had
}

// recordWrites records writes for loseWrites. It drops the oldest ones beyond maxRecentWrites.
func (d *data) recordWrites(writes ...write) {
	d.recent = append(d.recent, writes...)
	if len(d.recent) > maxRecentWrites {
		d.recent = append(d.recent[:0], d.recent[maxRecentWrites/2:]...)
	}
}

// loseWrites removes the fields that were written after a time, and returns these writes.
func (d *data) loseWrites(since time.Time) (lost []write) {
	for _, w := range d.recent {
		if w.at.After(since) {
			delete(d.hashes[w.key], w.field)
			lost = append(lost, w)
		}
	}
	return lost
}
