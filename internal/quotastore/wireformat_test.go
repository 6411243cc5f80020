package quotastore

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/nettest"
	"cherrygap/internal/quota"
)

// scriptedStore is a store on loopback with a fixed reply to each transaction.
type scriptedStore struct {
	net.Listener

	mu       sync.Mutex
	received bytes.Buffer // bytes of all commands; guarded by mu
}

// startScriptedStore starts a store that replies execReply to each EXEC. The store rejects HELLO, like the lab store, and
// accepts all other commands.
func startScriptedStore(t *testing.T, execReply string) *scriptedStore {
	t.Helper()
	ln, err := net.Listen("tcp", nettest.LoopbackAddr())
	if err != nil {
		t.Fatal("listening for the scripted store:", err)
	}
	s := &scriptedStore{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, execReply)
		}
	}()
	return s
}

// serve reads the commands of a connection and replies to them, until reading or writing fails.
func (s *scriptedStore) serve(conn net.Conn, execReply string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	inTransaction := false
	for {
		command, arguments, err := readCommand(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received.WriteString(command)
		s.mu.Unlock()
		reply := "+OK\r\n"
		switch {
		case arguments[0] == "hello":
			reply = "-ERR unknown command 'HELLO'\r\n"
		case arguments[0] == "multi":
			inTransaction = true
		case arguments[0] == "exec":
			inTransaction, reply = false, execReply
		case inTransaction:
			reply = "+QUEUED\r\n"
		}
		if _, err := io.WriteString(conn, reply); err != nil {
			return
		}
	}
}

// readCommand reads one command. command is the command as received, and arguments are its name and arguments.
func readCommand(r *bufio.Reader) (command string, arguments []string, err error) {
	readNumber := func(prefix string) int {
		line, readErr := r.ReadString('\n')
		command += line
		n, parseErr := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, prefix)))
		if err == nil && (readErr != nil || parseErr != nil) {
			err = fmt.Errorf("%q: %w", line, io.ErrUnexpectedEOF)
		}
		return n
	}
	for range readNumber("*") {
		argument := make([]byte, max(0, readNumber("$"))+2)
		if _, readErr := io.ReadFull(r, argument); readErr != nil {
			return command, arguments, readErr
		}
		command += string(argument)
		arguments = append(arguments, string(argument[:len(argument)-2]))
	}
	if err == nil && len(arguments) == 0 {
		err = io.ErrUnexpectedEOF
	}
	return command, arguments, err
}

// TestExchangeWireFormat guards against nodes of different versions that cannot share a store. The commands, their order,
// the keys, the entries and their time to live are compared with the expected bytes. Only the proposed store id is random.
func TestExchangeWireFormat(t *testing.T) {
	const execReply = "*5\r\n:0\r\n$20\r\n18446744073709551615\r\n:1\r\n:1\r\n" +
		"*6\r\n$3\r\n0:1\r\n$4\r\n12.5\r\n$5\r\n17:30\r\n$1\r\n0\r\n$3\r\n2:2\r\n$5\r\n1e-07\r\n"
	// opening holds the commands of a new connection, and the beginning of each transaction.
	const opening = "*2\r\n$5\r\nhello\r\n$1\r\n2\r\n" +
		"*3\r\n$6\r\nclient\r\n$7\r\nsetname\r\n$6\r\nedge-3\r\n" +
		"*2\r\n$4\r\necho\r\n$10\r\nquota:echo\r\n" + // The scripted store replies OK, so it does not support ECHO.
		"*1\r\n$5\r\nmulti\r\n" +
		"*3\r\n$5\r\nsetnx\r\n$11\r\nquota:store\r\nRANDOM " +
		"*2\r\n$3\r\nget\r\n$11\r\nquota:store\r\n"
	for _, c := range []struct {
		name     string
		exchange quota.Exchange
		want     string
	}{
		{"a first entry", quota.Exchange{Key: 7, Window: 0, Put: quota.Commitment{Node: 0, Sequence: 1, Cap: 0}, TTL: 1500 * time.Millisecond}, opening +
			"*4\r\n$4\r\nhset\r\n$9\r\nquota:7:0\r\n$3\r\n0:1\r\n$1\r\n0\r\n" +
			"*3\r\n$7\r\npexpire\r\n$9\r\nquota:7:0\r\n$4\r\n1500\r\n" +
			"*2\r\n$7\r\nhgetall\r\n$9\r\nquota:7:0\r\n" +
			"*1\r\n$4\r\nexec\r\n"},
		{"a large fleet", quota.Exchange{
			Key: 0xdeadbeefcafe0123, Window: 1_700_000_000, Put: quota.Commitment{Node: 1234, Sequence: 17, Cap: 12.5},
			TTL: 6 * time.Second,
		}, opening +
			"*4\r\n$4\r\nhset\r\n$33\r\nquota:deadbeefcafe0123:1700000000\r\n$7\r\n1234:17\r\n$4\r\n12.5\r\n" +
			"*3\r\n$7\r\npexpire\r\n$33\r\nquota:deadbeefcafe0123:1700000000\r\n$4\r\n6000\r\n" +
			"*2\r\n$7\r\nhgetall\r\n$33\r\nquota:deadbeefcafe0123:1700000000\r\n" +
			"*1\r\n$4\r\nexec\r\n"},
		{"a large cap, a lifetime with a part of a millisecond", quota.Exchange{
			Key: math.MaxUint64, Window: -3,
			Put: quota.Commitment{Node: 5, Sequence: 2, Cap: 1e21}, TTL: 2000000500,
		}, opening +
			"*4\r\n$4\r\nhset\r\n$25\r\nquota:ffffffffffffffff:-3\r\n$3\r\n5:2\r\n$5\r\n1e+21\r\n" +
			"*3\r\n$7\r\npexpire\r\n$25\r\nquota:ffffffffffffffff:-3\r\n$4\r\n2000\r\n" +
			"*2\r\n$7\r\nhgetall\r\n$25\r\nquota:ffffffffffffffff:-3\r\n" +
			"*1\r\n$4\r\nexec\r\n"},
		{"a small cap", quota.Exchange{Key: 1, Window: 2, Put: quota.Commitment{Node: 5, Sequence: 3, Cap: 1.0 / 3e7}, TTL: 999999}, opening +
			"*4\r\n$4\r\nhset\r\n$9\r\nquota:1:2\r\n$3\r\n5:3\r\n$22\r\n3.3333333333333334e-08\r\n" +
			"*3\r\n$7\r\npexpire\r\n$9\r\nquota:1:2\r\n$1\r\n1\r\n" +
			"*2\r\n$7\r\nhgetall\r\n$9\r\nquota:1:2\r\n" +
			"*1\r\n$4\r\nexec\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, log := startScriptedStore(t, execReply), zerolog.Nop()
			q := Open(server.Addr().String(), "edge-3", quota.Config{Nodes: 4, Timeout: 5 * time.Second}, &log)
			defer q.Close()
			reply, err := putAndRead(t.Context(), q.client, c.exchange)
			if err != nil {
				t.Fatalf("putAndRead failed: %v, want no error", err)
			}
			slices.SortFunc(reply.Entries, func(a, b quota.Commitment) int { return int(a.Node - b.Node) })
			if want := []quota.Commitment{{Node: 0, Sequence: 1, Cap: 12.5}, {Node: 2, Sequence: 2, Cap: 1e-7}, {Node: 17, Sequence: 30}}; reply.Store != math.MaxUint64 ||
				!reflect.DeepEqual(reply.Entries, want) {
				t.Errorf("putAndRead = store %d with entries %v, want store %d with entries %v", reply.Store, reply.Entries, uint64(math.MaxUint64), want)
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			randomID := regexp.MustCompile(`(quota:store\r\n)\$\d+\r\n\d+[13579]\r\n`)
			if got := randomID.ReplaceAllString(server.received.String(), "${1}RANDOM "); got != c.want {
				t.Errorf("commands sent = %q, want %q", got, c.want)
			}
		})
	}
}

// TestMalformedReplies guards against grants from a damaged reply. A reply is either parsed as a whole or is an error.
func TestMalformedReplies(t *testing.T) {
	const head = "*5\r\n:0\r\n$1\r\n9\r\n:1\r\n:1\r\n"
	for _, c := range []struct {
		name, execReply string
		ok              bool
	}{
		{"no entry", head + "*0\r\n", true},
		{"one entry", head + "*2\r\n$3\r\n1:1\r\n$3\r\n4e2\r\n", true},
		{"an entry without a sequence", head + "*2\r\n$1\r\n1\r\n$1\r\n4\r\n", false},
		{"an invalid node", head + "*2\r\n$3\r\nx:1\r\n$1\r\n4\r\n", false},
		{"a negative cap", head + "*2\r\n$3\r\n1:1\r\n$2\r\n-4\r\n", false},
		{"a cap that is NaN", head + "*2\r\n$3\r\n1:1\r\n$3\r\nNaN\r\n", false},
		{"an invalid store id", "*5\r\n:0\r\n$1\r\nx\r\n:1\r\n:1\r\n*0\r\n", false},
		{"no store id", "*5\r\n:0\r\n$-1\r\n:1\r\n:1\r\n*0\r\n", false},
		{"a full store", "-EXECABORT Transaction discarded\r\n", false},
		{"one command rejected", "*5\r\n:0\r\n$1\r\n9\r\n-OOM no room\r\n:1\r\n*0\r\n", false},
		{"no transaction", "*-1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, log := startScriptedStore(t, c.execReply), zerolog.Nop()
			q := Open(server.Addr().String(), "n", quota.Config{Nodes: 4, Timeout: 5 * time.Second}, &log)
			defer q.Close()
			reply, err := putAndRead(t.Context(), q.client, quota.Exchange{TTL: time.Second})
			if (err == nil) != c.ok || err == nil && reply.Store != 9 || err != nil && (reply.Store != 0 || reply.Entries != nil) {
				t.Errorf("putAndRead = store %d, entries %v, error %v; want success %v, with store 9 on success and an empty reply otherwise",
					reply.Store, reply.Entries, err, c.ok)
			}
		})
	}
}
