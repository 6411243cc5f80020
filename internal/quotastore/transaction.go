package quotastore

// Transactions with the store.
//
// All nodes of a fleet share the keys and fields, also while nodes of different versions run. An exchange is one MULTI/EXEC
// transaction. The transaction sets the store's id if there is none, adds the entry, sets the entries' time to live, and
// reads the entries. If the store supports ECHO, the transaction begins with an ECHO of the exchange's id. A reply with another id
// belongs to an earlier exchange on the connection: the store sent it twice, or too late.

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

const (
	// storeIDKey is the key of the store's id. A node that finds no id sets a random one.
	storeIDKey = "quota:store"
	// entriesKeyFormat is the key of the hash with the entries of a customer (hexadecimal) in a window (decimal).
	entriesKeyFormat = "quota:%x:%d"
	// entryFieldFormat is the field of an entry in that hash: the node and the sequence, both decimal. The field's value is
	// the cap in units.
	entryFieldFormat = "%d:%d"
)

// ErrMalformedReply is wrapped by every error for a reply that cannot be parsed.
var ErrMalformedReply = errors.New("malformed reply of the quota store")

// putAndRead carries out an exchange. An error wraps one of the client, or ErrMalformedReply.
func putAndRead(ctx context.Context, client *storeClient, exchange quota.Exchange) (quota.Reply, error) {
	key := fmt.Sprintf(entriesKeyFormat, uint64(exchange.Key), int64(exchange.Window))
	field := fmt.Sprintf(entryFieldFormat, int(exchange.Put.Node), int(exchange.Put.Sequence))
	exchangeID := strconv.FormatUint(uint64(exchange.ID), 10)
	var echo, storeID *redis.StringCmd
	var entries *redis.MapStringStringCmd
	_, err := client.TxPipelined(ctx, func(p redis.Pipeliner) error {
		if client.hasEcho.Load() {
			echo = p.Echo(ctx, exchangeID)
		}
		p.SetNX(ctx, storeIDKey, rand.Uint64()|1, 0) // odd, because the id 0 stands for no store
		storeID = p.Get(ctx, storeIDKey)
		p.HSet(ctx, key, field, strconv.FormatFloat(exchange.Put.Cap, 'g', -1, 64))
		p.PExpire(ctx, key, exchange.TTL)
		entries = p.HGetAll(ctx, key)
		return nil
	})
	if err != nil {
		return quota.Reply{}, fmt.Errorf("exchange for key %s: %w", key, err)
	}
	if echo != nil && echo.Val() != exchangeID {
		return quota.Reply{}, fmt.Errorf("exchange for key %s: %w: it is for exchange %q, want %s", key, ErrMalformedReply, echo.Val(), exchangeID)
	}
	id, err := storeID.Uint64()
	if err != nil {
		return quota.Reply{}, fmt.Errorf("%w: store id in key %s: %w", ErrMalformedReply, storeIDKey, err)
	}
	commitments, err := parseEntries(entries.Val())
	if err != nil {
		return quota.Reply{}, fmt.Errorf("exchange for key %s: %w", key, err)
	}
	return quota.Reply{Store: quota.StoreID(id), Entries: commitments}, nil
}

// parseEntries parses the fields of an entries hash. The result has no particular order. An error wraps ErrMalformedReply.
func parseEntries(hash map[string]string) ([]quota.Commitment, error) {
	var commitments []quota.Commitment
	for field, value := range hash {
		commitment, err := parseEntry(field, value)
		if err != nil {
			return nil, fmt.Errorf("%w: entry %q with cap %q: %w", ErrMalformedReply, field, value, err)
		}
		commitments = append(commitments, commitment)
	}
	return commitments, nil
}

// parseEntry parses one field of an entries hash and its value. An error is one of strconv, or joins several of them.
func parseEntry(field, value string) (quota.Commitment, error) {
	node, sequence, _ := strings.Cut(field, ":")
	nodeNumber, nodeErr := strconv.Atoi(node)
	sequenceNumber, sequenceErr := strconv.Atoi(sequence)
	unitCap, capErr := strconv.ParseFloat(value, 64)
	if err := errors.Join(nodeErr, sequenceErr, capErr); err != nil {
		return quota.Commitment{}, err
	}
	if !(unitCap >= 0) { // negative or NaN
		return quota.Commitment{}, strconv.ErrRange
	}
	return quota.Commitment{Node: quota.NodeID(nodeNumber), Sequence: quota.Sequence(sequenceNumber), Cap: unitCap}, nil
}
