package store

import (
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// Error replies of the protocol.
const (
	replyFull       = "OOM command not allowed when used memory > 'maxmemory'."
	replyNotInteger = "ERR value is not an integer or out of range"
)

// command is a command of the protocol.
type command struct {
	minArgs int         // minimum number of arguments, including the name
	writes  bool        // whether the fault full rejects the command, and forget may lose its write (except for SETNX)
	run     func(*call) // function that runs the command and writes the reply
}

// commands are the supported commands by name, in upper case.
var commands = map[string]command{
	"PING":    {minArgs: 1, run: (*call).ping},
	"ECHO":    {minArgs: 2, run: (*call).echo},
	"SELECT":  {minArgs: 1, run: (*call).ok},
	"CLIENT":  {minArgs: 1, run: (*call).client},
	"GET":     {minArgs: 2, run: (*call).get},
	"SET":     {minArgs: 3, writes: true, run: (*call).set},
	"SETNX":   {minArgs: 3, writes: true, run: (*call).setIfAbsent},
	"INCRBY":  {minArgs: 3, writes: true, run: (*call).increment},
	"HSET":    {minArgs: 4, writes: true, run: (*call).setFields},
	"HGETALL": {minArgs: 2, run: (*call).getFields},
	"EXPIRE":  {minArgs: 3, run: func(c *call) { c.expire(time.Second) }},
	"PEXPIRE": {minArgs: 3, run: func(c *call) { c.expire(time.Millisecond) }},
	"DEL":     {minArgs: 2, run: (*call).deleteKeys},
}

// call is the execution of a command. The caller of its methods holds Server.mu. Each method writes one reply.
type call struct {
	redcon.Conn          // connection that gets the reply
	sender      *client  // client that sent the command
	data        *data    // data that the client sees
	args        []string // arguments, including the name in upper case
	writeLost   bool     // whether the fault forget suppresses the write
}

// runCommand runs a command and writes the reply. args includes the name in upper case. The caller holds s.mu.
func (s *Server) runCommand(conn redcon.Conn, sender *client, args []string) {
	name := args[0]
	s.commandCounts[name]++
	cmd, known := commands[name]
	if s.isActive(faultFull) && cmd.writes {
		conn.WriteError(replyFull)
		return
	}
	c := &call{Conn: conn, sender: sender, data: s.dataOf(sender), args: args}
	if fault, active := s.faults[faultForget]; active && cmd.writes {
		c.writeLost = s.random.Float64() < fault.LossProbability
	}
	if len(args) > 1 {
		c.data.removeIfExpired(args[1])
	}
	switch {
	case !known:
		conn.WriteError("ERR unknown command '" + name + "'")
	case len(args) < cmd.minArgs:
		conn.WriteError("ERR wrong number of arguments for '" + strings.ToLower(name) + "' command")
	default:
		cmd.run(c)
	}
}

// dataOf returns the data that a client sees. In a split store the last byte of the client's name selects the half. A client
// without a name sees the first half.
func (s *Server) dataOf(c *client) *data {
	if s.isActive(faultSplit) && c.name != "" && c.name[len(c.name)-1]%2 == 1 {
		return s.halves[1]
	}
	return s.halves[0]
}

// ping runs PING.
func (c *call) ping() { c.WriteString("PONG") }

// echo runs ECHO.
func (c *call) echo() { c.WriteBulkString(c.args[1]) }

// ok replies OK. It runs the commands that have no effect.
func (c *call) ok() { c.WriteString("OK") }

// client runs CLIENT. Its subcommand SETNAME sets the client's name, and other subcommands have no effect.
func (c *call) client() {
	if len(c.args) > 2 && strings.EqualFold(c.args[1], "SETNAME") {
		c.sender.name = c.args[2]
	}
	c.ok()
}

// get runs GET.
func (c *call) get() {
	if value, ok := c.data.strings[c.args[1]]; ok {
		c.WriteBulkString(value)
	} else {
		c.WriteNull()
	}
}

// set runs SET. It supports the option NX, which sets only a key that does not exist, and ignores other options.
func (c *call) set() {
	key := c.args[1]
	for _, option := range c.args[3:] {
		if _, ok := c.data.strings[key]; ok && strings.EqualFold(option, "NX") {
			c.WriteNull()
			return
		}
	}
	if !c.writeLost {
		c.data.strings[key] = c.args[2]
		delete(c.data.expires, key)
	}
	c.ok()
}

// setIfAbsent runs SETNX. The fault forget does not affect it, because nodes set the store's ID with SETNX.
func (c *call) setIfAbsent() {
	key := c.args[1]
	if _, ok := c.data.strings[key]; ok {
		c.WriteInt(0)
		return
	}
	c.data.strings[key] = c.args[2]
	c.WriteInt(1)
}

// increment runs INCRBY.
func (c *call) increment() {
	key := c.args[1]
	delta, err := strconv.ParseInt(c.args[2], 10, 64)
	if err != nil {
		c.WriteError(replyNotInteger)
		return
	}
	value := int64(0)
	if text, ok := c.data.strings[key]; ok {
		if value, err = strconv.ParseInt(text, 10, 64); err != nil {
			c.WriteError(replyNotInteger)
			return
		}
	}
	value += delta
	if !c.writeLost {
		c.data.strings[key] = strconv.FormatInt(value, 10)
	}
	c.WriteInt64(value)
}

// setFields runs HSET.
func (c *call) setFields() {
	key, added := c.args[1], 0
	for i := 2; i+1 < len(c.args); i += 2 {
		field, value := c.args[i], c.args[i+1]
		if c.writeLost {
			added++
			continue
		}
		if c.data.setField(key, field, value) {
			added++
		}
		c.data.recordWrites(write{time.Now(), key, field, value})
	}
	c.WriteInt(added)
}

// getFields runs HGETALL.
func (c *call) getFields() {
	hash := c.data.hashes[c.args[1]]
	c.WriteArray(2 * len(hash))
	for field, value := range hash {
		c.WriteBulkString(field)
		c.WriteBulkString(value)
	}
}

// expire runs EXPIRE or PEXPIRE, whose times are in the given unit.
func (c *call) expire(unit time.Duration) {
	key := c.args[1]
	timeout, err := strconv.ParseInt(c.args[2], 10, 64)
	switch {
	case err != nil:
		c.WriteError(replyNotInteger)
	case !c.data.has(key):
		c.WriteInt(0)
	default:
		c.data.expires[key] = time.Now().Add(time.Duration(timeout) * unit)
		c.WriteInt(1)
	}
}

// deleteKeys runs DEL.
func (c *call) deleteKeys() {
	removed := 0
	for _, key := range c.args[1:] {
		if c.data.has(key) {
			removed++
		}
		c.data.remove(key)
	}
	c.WriteInt(removed)
}
