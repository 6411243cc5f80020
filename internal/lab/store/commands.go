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
	minWords int  // lowest number of words, including the name
	writes   bool // whether the faults full and forget apply to it
	run      func(*call)
}

// commands are the commands by name, in upper case.
var commands = map[string]command{
	"PING":    {minWords: 1, run: (*call).ping},
	"SELECT":  {minWords: 1, run: (*call).ok},
	"CLIENT":  {minWords: 1, run: (*call).client},
	"GET":     {minWords: 2, run: (*call).get},
	"SET":     {minWords: 3, writes: true, run: (*call).set},
	"SETNX":   {minWords: 3, writes: true, run: (*call).setIfAbsent},
	"INCRBY":  {minWords: 3, writes: true, run: (*call).increment},
	"HSET":    {minWords: 4, writes: true, run: (*call).setFields},
	"HGETALL": {minWords: 2, run: (*call).getFields},
	"EXPIRE":  {minWords: 3, run: func(c *call) { c.expire(time.Second) }},
	"PEXPIRE": {minWords: 3, run: func(c *call) { c.expire(time.Millisecond) }},
	"DEL":     {minWords: 2, run: (*call).del},
}

// call is the execution of a command. Its methods run with Server.mu held, and write one reply each.
type call struct {
	redcon.Conn // receives the reply
	sender      *client
	data        *data // that the sender sees
	words       []string
	lost        bool // whether the write is not carried out, by the fault forget
}

// run runs a command and writes the reply. The caller holds s.mu.
func (s *Server) run(conn redcon.Conn, sender *client, words []string) {
	name := words[0]
	s.applied[name]++
	cmd, known := commands[name]
	if s.isOn(full) && cmd.writes {
		conn.WriteError(replyFull)
		return
	}
	c := &call{Conn: conn, sender: sender, data: s.half(sender), words: words}
	if forgetful, on := s.faults[forget]; on && cmd.writes {
		c.lost = s.random.Float64() < forgetful.Chance
	}
	if len(words) > 1 {
		c.data.expire(words[1])
	}
	switch {
	case !known:
		conn.WriteError("ERR unknown command '" + name + "'")
	case len(words) < cmd.minWords:
		conn.WriteError("ERR wrong number of arguments for '" + strings.ToLower(name) + "' command")
	default:
		cmd.run(c)
	}
}

// half returns the data that a client sees. In a split store the last byte of the client's name decides.
func (s *Server) half(c *client) *data {
	if s.isOn(split) && c.name != "" && c.name[len(c.name)-1]%2 == 1 {
		return s.halves[1]
	}
	return s.halves[0]
}

// ping runs PING.
func (c *call) ping() { c.WriteString("PONG") }

// ok replies OK and does nothing else.
func (c *call) ok() { c.WriteString("OK") }

// client runs CLIENT: SETNAME, and all other sub-commands without effect.
func (c *call) client() {
	if len(c.words) > 2 && strings.EqualFold(c.words[1], "SETNAME") {
		c.sender.name = c.words[2]
	}
	c.ok()
}

// get runs GET.
func (c *call) get() {
	if value, ok := c.data.strings[c.words[1]]; ok {
		c.WriteBulkString(value)
	} else {
		c.WriteNull()
	}
}

// set runs SET with the option NX (only if absent). It ignores other options.
func (c *call) set() {
	key := c.words[1]
	for _, option := range c.words[3:] {
		if _, ok := c.data.strings[key]; ok && strings.EqualFold(option, "NX") {
			c.WriteNull()
			return
		}
	}
	if !c.lost {
		c.data.strings[key] = c.words[2]
		delete(c.data.expires, key)
	}
	c.ok()
}

// setIfAbsent runs SETNX. The fault forget does not apply, because nodes set the store's id with SETNX.
func (c *call) setIfAbsent() {
	key := c.words[1]
	if _, ok := c.data.strings[key]; ok {
		c.WriteInt(0)
		return
	}
	c.data.strings[key] = c.words[2]
	c.WriteInt(1)
}

// increment runs INCRBY.
func (c *call) increment() {
	key := c.words[1]
	by, err := strconv.ParseInt(c.words[2], 10, 64)
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
	value += by
	if !c.lost {
		c.data.strings[key] = strconv.FormatInt(value, 10)
	}
	c.WriteInt64(value)
}

// setFields runs HSET.
func (c *call) setFields() {
	key, added := c.words[1], 0
	for i := 2; i+1 < len(c.words); i += 2 {
		field, value := c.words[i], c.words[i+1]
		if c.lost {
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
	hash := c.data.hashes[c.words[1]]
	c.WriteArray(2 * len(hash))
	for field, value := range hash {
		c.WriteBulkString(field)
		c.WriteBulkString(value)
	}
}

// expire runs EXPIRE or PEXPIRE, by the unit of the time.
func (c *call) expire(unit time.Duration) {
	key := c.words[1]
	after, err := strconv.ParseInt(c.words[2], 10, 64)
	switch {
	case err != nil:
		c.WriteError(replyNotInteger)
	case !c.data.has(key):
		c.WriteInt(0)
	default:
		c.data.expires[key] = time.Now().Add(time.Duration(after) * unit)
		c.WriteInt(1)
	}
}

// del runs DEL.
func (c *call) del() {
	removed := 0
	for _, key := range c.words[1:] {
		if c.data.has(key) {
			removed++
		}
		c.data.remove(key)
	}
	c.WriteInt(removed)
}
