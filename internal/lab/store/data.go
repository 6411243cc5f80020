package store

import (
	"maps"
	"time"
)

const maxRecentWrites = 4096 // that a failover may lose

// write is a write of a field of a hash.
type write struct {
	at                time.Time
	key, field, value string
}

// data is the data of a store, or of one half of a split one. A key is in strings or in hashes.
type data struct {
	strings map[string]string
	hashes  map[string]map[string]string
	expires map[string]time.Time // by key; none for those without expiry
	recent  []write              // most recent writes
}

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

func (d *data) has(key string) bool {
	_, isString := d.strings[key]
	_, isHash := d.hashes[key]
	return isString || isHash
}

func (d *data) remove(key string) {
	delete(d.strings, key)
	delete(d.hashes, key)
	delete(d.expires, key)
}

// expire removes a key that has expired.
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

// recordWrites records the writes that a failover may lose.
func (d *data) recordWrites(writes ...write) {
	d.recent = append(d.recent, writes...)
	if len(d.recent) > maxRecentWrites {
		d.recent = append(d.recent[:0], d.recent[maxRecentWrites/2:]...)
	}
}

// loseWrites removes the fields written since a time, and returns those writes.
func (d *data) loseWrites(since time.Time) (lost []write) {
	for _, w := range d.recent {
		if w.at.After(since) {
			delete(d.hashes[w.key], w.field)
			lost = append(lost, w)
		}
	}
	return lost
}
