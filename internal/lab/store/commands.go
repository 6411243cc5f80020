package store

import (
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// The texts of error replies.
const (
	replyFull       = "OOM command not allowed when used memory > 'maxmemory'."
	replyNotInteger = "ERR value is not an integer or out of range"
)

// command is a command of the protocol.
type command struct {
	words  int  // minimum number of words, with the name
	writes bool // the faults full and forget affect the command
	run    func(*call)
}

// commands holds the known commands, by name.
var commands = map[string]command{
	"PING":    {words: 1, run: (*call).ping},
	"SELECT":  {words: 1, run: (*call).ok},
	"CLIENT":  {words: 1, run: (*call).client},
	"GET":     {words: 2, run: (*call).get},
	"SET":     {words: 3, writes: true, run: (*call).set},
	"SETNX":   {words: 3, writes: true, run: (*call).setIfAbsent},
	"INCRBY":  {words: 3, writes: true, run: (*call).increment},
	"HSET":    {words: 4, writes: true, run: (*call).setFields},
	"HGETALL": {words: 2, run: (*call).getFields},
	"EXPIRE":  {words: 3, run: func(c *call) { c.expire(time.Second) }},
	"PEXPIRE": {words: 3, run: func(c *call) { c.expire(time.Millisecond) }},
	"DEL":     {words: 2, run: (*call).del},
}

// call is a command in execution.
type call struct {
	redcon.Conn // gets the reply
	sender      *client
	data        *data
	words       []string
	lost        bool // the write gets its reply, but does not change the data
}

// run executes a command and writes the reply. The caller holds mu.
func (s *Server) run(conn redcon.Conn, sender *client, words []string) {
	name := words[0]
	s.applied[name]++
	cmd, known := commands[name]
	if s.isActive(full) && cmd.writes {
		conn.WriteError(replyFull)
		return
	}
	c := &call{Conn: conn, sender: sender, data: s.half(sender), words: words}
	if forgetful, on := s.faults[forget]; on && cmd.writes {
		c.lost = s.random.Float64() < forgetful.Probability
	}
	if len(words) > 1 {
		c.data.expire(words[1])
	}
	switch {
	case !known:
		conn.WriteError("ERR unknown command '" + name + "'")
	case len(words) < cmd.words:
		conn.WriteError("ERR wrong number of arguments for '" + strings.ToLower(name) + "' command")
	default:
		cmd.run(c)
	}
}

// half returns the data that a client uses. In a split store it depends on the last character of the client's name.
func (s *Server) half(c *client) *data {
	if s.isActive(split) && c.name != "" && c.name[len(c.name)-1]%2 == 1 {
		return s.halves[1]
	}
	return s.halves[0]
}

// ping replies PONG.
func (c *call) ping() { c.WriteString("PONG") }

// ok replies OK.
func (c *call) ok() { c.WriteString("OK") }

// client executes CLIENT SETNAME. Other sub-commands have no effect.
func (c *call) client() {
	if len(c.words) > 2 && strings.EqualFold(c.words[1], "SETNAME") {
		c.sender.name = c.words[2]
	}
	c.ok()
}

// get replies the value of a string.
func (c *call) get() {
	if value, ok := c.data.strings[c.words[1]]; ok {
		c.WriteBulkString(value)
	} else {
		c.WriteNull()
	}
}

// set sets a string. The option NX sets it only if the key is absent; other options are ignored.
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

// setIfAbsent sets a string if the key is absent. The fault forget does not affect it, as the store's identity is set by it.
func (c *call) setIfAbsent() {
	key := c.words[1]
	if _, ok := c.data.strings[key]; ok {
		c.WriteInt(0)
		return
	}
	c.data.strings[key] = c.words[2]
	c.WriteInt(1)
}

// increment adds to an integer in a string; an absent key counts as 0.
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

// setFields sets fields of a hash and replies the number of new ones.
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

// getFields replies all fields of a hash with their values.
func (c *call) getFields() {
	hash := c.data.hashes[c.words[1]]
	c.WriteArray(2 * len(hash))
	for field, value := range hash {
		c.WriteBulkString(field)
		c.WriteBulkString(value)
	}
}

// expire sets the expiry of a key, in the given unit from now.
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

// del removes keys and replies the number of existing ones.
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
