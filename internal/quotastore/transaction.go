package quotastore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/redis/go-redis/v9"

	"cherrygap/internal/quota"
)

// Keys and fields in the store. All nodes of a fleet share them, also of different versions.
const (
	// storeIDKey holds the number of the store: whoever finds none sets one, so it lasts as long as the store's data.
	storeIDKey = "quota:store"
	// entriesKey is the hash of a customer's entries of one window, by customer (hexadecimal) and window.
	entriesKey = "quota:%x:%d"
	// entryField is one entry in it, by node and sequence; its value is the cap.
	entryField = "%d:%d"
)

// ErrMalformedReply is returned for a reply that makes no sense.
var ErrMalformedReply = errors.New("malformed reply of the quota store")

// putAndRead puts one entry and reads all of that customer and window, in one transaction.
func putAndRead(ctx context.Context, client *redis.Client, x quota.Exchange) (quota.StoreID, []quota.Commitment, error) {
	key := fmt.Sprintf(entriesKey, uint64(x.Key), int64(x.Window))
	field := fmt.Sprintf(entryField, int(x.Put.Node), int(x.Put.Sequence))
	var storeID *redis.StringCmd
	var entries *redis.MapStringStringCmd
	_, err := client.TxPipelined(ctx, func(p redis.Pipeliner) error {
		p.SetNX(ctx, storeIDKey, rand.Uint64()|1, 0) // never 0, which stands for none
		storeID = p.Get(ctx, storeIDKey)
		p.HSet(ctx, key, field, strconv.FormatFloat(x.Put.Cap, 'g', -1, 64))
		p.PExpire(ctx, key, x.Keep)
		entries = p.HGetAll(ctx, key)
		return nil
	})
	if err != nil {
		return 0, nil, fmt.Errorf("exchange of %s: %w", key, err)
	}
	id, err := storeID.Uint64()
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %s: %w", ErrMalformedReply, storeIDKey, err)
	}
	commitments, err := parseEntries(entries.Val())
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", key, err)
	}
	return quota.StoreID(id), commitments, nil
}

// parseEntries reads the entries of a hash, in no particular order. An error wraps ErrMalformedReply.
func parseEntries(hash map[string]string) ([]quota.Commitment, error) {
	var commitments []quota.Commitment
	for field, value := range hash {
		commitment, err := parseEntry(field, value)
		if err != nil {
			return nil, fmt.Errorf("%w: %q is %q: %w", ErrMalformedReply, field, value, err)
		}
		commitments = append(commitments, commitment)
	}
	return commitments, nil
}

func parseEntry(field, value string) (quota.Commitment, error) {
	node, sequence, _ := strings.Cut(field, ":")
	nodeNumber, nodeErr := strconv.Atoi(node)
	sequenceNumber, sequenceErr := strconv.Atoi(sequence)
	limit, limitErr := strconv.ParseFloat(value, 64)
	if err := errors.Join(nodeErr, sequenceErr, limitErr); err != nil {
		return quota.Commitment{}, err
	}
	if !(limit >= 0) { // negative, or no number
		return quota.Commitment{}, strconv.ErrRange
	}
	return quota.Commitment{Node: quota.NodeID(nodeNumber), Sequence: quota.Sequence(sequenceNumber), Cap: limit}, nil
}
