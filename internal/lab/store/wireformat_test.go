package store

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// sendCommands sends commands one after the other over a new connection, and returns the bytes of each reply. Spaces separate
// the arguments of a command.
func sendCommands(t *testing.T, addr string, commands []string) (replies []string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for _, command := range commands {
		args := strings.Split(command, " ")
		text := fmt.Sprintf("*%d\r\n", len(args))
		for _, arg := range args {
			text += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatalf("sending command %d, %q: %v", len(replies)+1, command, err)
		}
		reply, err := readReply(reader)
		if err != nil {
			t.Fatalf("reading the reply to command %d, %q: %v", len(replies)+1, command, err)
		}
		replies = append(replies, reply)
	}
	return replies
}

// readReply reads a reply, including the elements of an array.
func readReply(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	var size int
	switch line[0] {
	case '$':
		if _, err := fmt.Sscanf(line, "$%d", &size); err != nil || size < 0 {
			return line, err
		}
		b := make([]byte, size+2)
		_, err := io.ReadFull(r, b)
		return line + string(b), err
	case '*':
		if _, err := fmt.Sscanf(line, "*%d", &size); err != nil {
			return line, err
		}
		for range size {
			part, err := readReply(r)
			if err != nil {
				return line, err
			}
			line += part
		}
	}
	return line, nil
}

// replyCases are commands with the expected replies, in the order in which they are sent.
var replyCases = [][2]string{
	{"PING", "+PONG\r\n"},
	{"ping x", "+PONG\r\n"},
	{"SELECT 3", "+OK\r\n"},
	{"CLIENT SETNAME n1", "+OK\r\n"},
	{"client list", "+OK\r\n"},
	{"HELLO 3", "-ERR unknown command 'HELLO'\r\n"},
	{"GET none", "$-1\r\n"},
	{"GET", "-ERR wrong number of arguments for 'get' command\r\n"},
	{"get", "-ERR wrong number of arguments for 'get' command\r\n"},
	{"SET a", "-ERR wrong number of arguments for 'set' command\r\n"},
	{"SET a 1", "+OK\r\n"},
	{"SET a 2 NX", "$-1\r\n"},
	{"SET a 2 nx PX 1", "$-1\r\n"},
	{"GET a", "$1\r\n1\r\n"},
	{"SETNX a 3", ":0\r\n"},
	{"SETNX b 3", ":1\r\n"},
	{"SETNX b", "-ERR wrong number of arguments for 'setnx' command\r\n"},
	{"get b", "$1\r\n3\r\n"},
	{"INCRBY a 5", ":6\r\n"},
	{"INCRBY c -5", ":-5\r\n"},
	{"INCRBY a x", "-ERR value is not an integer or out of range\r\n"},
	{"SET a x", "+OK\r\n"},
	{"INCRBY a 1", "-ERR value is not an integer or out of range\r\n"},
	{"INCRBY a", "-ERR wrong number of arguments for 'incrby' command\r\n"},
	{"HSET h f 1", ":1\r\n"},
	{"HSET h f 2", ":0\r\n"},
	{"HSET h f", "-ERR wrong number of arguments for 'hset' command\r\n"},
	{"HSET h f 4 f 5 odd", ":0\r\n"},
	{"HGETALL h", "*2\r\n$1\r\nf\r\n$1\r\n5\r\n"},
	{"HGETALL none", "*0\r\n"},
	{"HGETALL", "-ERR wrong number of arguments for 'hgetall' command\r\n"},
	{"EXPIRE h x", "-ERR value is not an integer or out of range\r\n"},
	{"EXPIRE none 1", ":0\r\n"},
	{"EXPIRE h", "-ERR wrong number of arguments for 'expire' command\r\n"},
	{"PEXPIRE h 0", ":1\r\n"},
	{"EXPIRE a 100", ":1\r\n"},
	{"PEXPIRE b -1", ":1\r\n"},
	{"GET b", "$-1\r\n"},
	{"DEL", "-ERR wrong number of arguments for 'del' command\r\n"},
	{"DEL a none c", ":2\r\n"},
	{"fly away", "-ERR unknown command 'FLY'\r\n"},
	{"EXEC", "-ERR EXEC without MULTI\r\n"},
	{"DISCARD", "+OK\r\n"},
	{"MULTI", "+OK\r\n"},
	{"SET a 9", "+QUEUED\r\n"},
	{"DISCARD", "+OK\r\n"},
	{"GET a", "$-1\r\n"},
	{"MULTI", "+OK\r\n"},
	{"INCRBY n 4", "+QUEUED\r\n"},
	{"BAD", "+QUEUED\r\n"},
	{"HSET k x y", "+QUEUED\r\n"},
	{"HGETALL k", "+QUEUED\r\n"},
	{"GET", "+QUEUED\r\n"},
	{"EXEC", "*5\r\n:4\r\n-ERR unknown command 'BAD'\r\n:1\r\n*2\r\n$1\r\nx\r\n$1\r\ny\r\n-ERR wrong number of arguments for 'get' command\r\n"},
	{"EXEC", "-ERR EXEC without MULTI\r\n"},
}

// checkReplies sends the commands of cases over one connection, and checks each reply against the expected one.
func checkReplies(t *testing.T, server *Server, cases [][2]string) {
	t.Helper()
	commands := make([]string, len(cases))
	for k, c := range cases {
		commands[k] = c[0]
	}
	for k, got := range sendCommands(t, server.Addr(), commands) {
		if got != cases[k][1] {
			t.Errorf("reply to command %d, %q, is %q, want %q", k+1, cases[k][0], got, cases[k][1])
		}
	}
}

// Guards against a reply whose bytes differ from the protocol's, which a real client of the store would reject or misread.
func TestReplyWireFormat(t *testing.T) {
	server, err := Start("127.0.0.1:0", 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	checkReplies(t, server, replyCases)
	counts := fmt.Sprint(server.CommandCounts())
	if want := "map[BAD:1 CLIENT:2 DEL:2 EXPIRE:4 FLY:1 GET:8 HELLO:1 HGETALL:4 HSET:5 INCRBY:6 PEXPIRE:2 PING:2 SELECT:1 SET:5 SETNX:3]"; counts != want {
		t.Errorf("CommandCounts() = %s, want %s", counts, want)
	}
}

// Guards against a full store that accepts a write, alone or in a transaction, or that rejects it with wrong bytes.
func TestReplyWireFormatWithFaults(t *testing.T) {
	server, err := Start("127.0.0.1:0", 1, []Fault{{Kind: "full", DurationS: 60}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range 1000 {
		if server.activeFaultCount() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	checkReplies(t, server, [][2]string{
		{"SET a 1", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"SETNX a 1", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"INCRBY a 1", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"HSET a 1 2", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"HSET a", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"GET a", "$-1\r\n"},
		{"EXPIRE a 1", ":0\r\n"},
		{"MULTI", "+OK\r\n"},
		{"SET a 1", "+QUEUED\r\n"},
		{"EXEC", "-EXECABORT Transaction discarded because of: OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		{"EXEC", "-ERR EXEC without MULTI\r\n"},
	})
}

// activeFaultCount returns the number of active faults.
func (s *Server) activeFaultCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults)
}
