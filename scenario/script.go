package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
)

// answerLimit bounds the wait for the answer to a script's request.
const answerLimit = 10 * time.Second

// command is one line of a script: its words and its key=value options.
type command struct {
	words   []string
	options map[string]string
}

func parseCommand(line string) command {
	c := command{options: map[string]string{}}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			c.options[key] = value
			continue
		}
		c.words = append(c.words, word)
	}
	return c
}

// word returns the i-th word of the line, or "" beyond its end.
func (c command) word(i int) string {
	if i < len(c.words) {
		return c.words[i]
	}
	return ""
}

// Run executes one line of a script. testdata/README.md lists the commands.
func (w *World) Run(line string) error {
	c := parseCommand(line)
	var err error
	switch c.word(0) {
	case "advance":
		err = w.runAdvance(c)
	case "write", "read", "start":
		err = w.runRequest(c)
	case "forget":
		w.caller(c.word(1)).token = ""
	case "steal":
		w.caller(c.word(1)).token = w.caller(c.word(3)).token
	case "publish":
		var generation int
		if generation, err = strconv.Atoi(c.word(1)); err == nil {
			err = w.Publish(generation)
		}
	case "rotate":
		err = w.rotateKeys(c.word(3))
	case "shutdown":
		w.vm(c.word(1)).proxy.shutdown()
	case "relieve":
		w.Relieve(target.ID(c.word(1)))
	case "in":
		err = w.runLater(c)
	case "on":
		w.OnceAtStep(c.word(1), c.word(2), func(s StepEvent) { w.runAtStep(c.words[3:], s) })
	case "settle":
		w.Settle()
	default:
		err = w.Fault(c)
	}
	return err
}

func (w *World) runAdvance(c command) error {
	d, err := time.ParseDuration(c.word(1))
	w.Advance(d)
	return err
}

// rotateKeys signs new tokens with a new key. "rotate keys and keep" still accepts tokens of the
// old key; "rotate keys and drop" does not.
func (w *World) rotateKeys(old string) error {
	keys := map[string][]byte{"k2": secret("k2")}
	if old == "keep" {
		keys["k1"] = secret("k1")
	}
	return w.keys.Replace("k2", keys)
}

// runAtStep executes a line at a step. "self" stands for the VM that reached the step, and
// "its-server" for the server that the step concerns.
func (w *World) runAtStep(words []string, s StepEvent) {
	line := strings.Join(words, " ")
	line = strings.NewReplacer("self", s.Node, "its-server", s.Server).Replace(line)
	if err := w.Run(line); err != nil {
		w.logf("%v", err)
	}
}

// runLater executes a line after a delay.
func (w *World) runLater(c command) error {
	d, err := time.ParseDuration(c.word(1))
	rest := strings.Join(c.words[2:], " ")
	w.at(w.now.Add(d), func() {
		if err := w.Run(rest); err != nil {
			w.logf("%v", err)
		}
	})
	return err
}

// runRequest makes a request. "start" does not wait for the answer.
func (w *World) runRequest(c command) error {
	wait := c.word(0) != "start"
	if !wait {
		c.words = c.words[1:]
	}
	session, vmName := c.word(1), c.words[len(c.words)-1]
	r := request{op: "read", access: accessRead, row: c.options["row"], key: c.options["key"]}
	if c.word(0) == "write" {
		r.access = accessWrite
		r.op = c.word(2)
		r.statements, _ = strconv.Atoi(c.options["statements"])
	}
	if c.options["durability"] == "witnessed" {
		r.durability = profile.Witnessed
	}
	if w.vm(vmName) == nil || r.row == "" {
		return errors.Errorf("request %q needs row= and a VM", strings.Join(c.words, " "))
	}
	done := w.start(session, vmName, r)
	if wait {
		w.AdvanceUntil(answerLimit, func() bool { return done.answered != 0 })
	}
	return nil
}

// Fault executes a line that injects or ends a fault.
func (w *World) Fault(c command) error {
	name := c.word(1)
	switch c.word(0) {
	case "cut":
		w.cutFrom(name, c.word(3))
	case "heal":
		w.Heal()
	case "kill":
		w.Kill(name)
	case "restart":
		w.restartNamed(name)
	case "pause", "freeze":
		w.Pause(name)
	case "resume":
		w.Resume(name)
	case "reset":
		w.Reset(name)
	case "cut-way":
		w.Cut(name, c.word(3))
	case "late":
		w.net.late[name] = true
	case "duplicate":
		w.net.duplicate[name] = true
	case "lag":
		d, err := time.ParseDuration(c.word(2))
		w.server(target.ID(name)).lag = d
		return err
	case "store":
		return w.storeFault(c)
	default:
		return errors.Errorf("unknown command %q", c.word(0))
	}
	return nil
}

func (w *World) storeFault(c command) error {
	switch c.word(1) {
	case "down":
		w.store.down = true
	case "up":
		w.store.down, w.store.slow = false, 0
	case "slow":
		d, err := time.ParseDuration(c.word(2))
		w.store.slow = d
		return err
	case "loses":
		w.store.loseAnswers++
	case "restored":
		d, err := time.ParseDuration(c.word(2))
		w.store.restore(w.now.Add(-d))
		return err
	default:
		return errors.Errorf("unknown fault of the store %q", c.word(1))
	}
	return nil
}

// cutFrom cuts a node off from the other servers ("peers"), from the VMs ("callers"), from
// everything ("all"), or from one named node.
func (w *World) cutFrom(name, from string) {
	w.Isolate(name, func(other string) bool {
		switch from {
		case "peers":
			return w.server(target.ID(other)) != nil
		case "callers":
			return w.vm(other) != nil
		case "all":
			return true
		default:
			return other == from
		}
	})
}

func (w *World) restartNamed(name string) {
	if v := w.vm(name); v != nil && !v.up {
		v.boot()
		return
	}
	w.restart(w.nodes[name])
}

// Relieve requests a planned change of primary on all VMs.
func (w *World) Relieve(id target.ID) {
	for _, v := range w.vms {
		if v.up {
			v.step(failover.HandoverRequested{Server: id})
		}
	}
}

// OnceAtStep calls f once, when the operation reaches the step for the first time.
func (w *World) OnceAtStep(op, step string, f func(StepEvent)) {
	before := w.hook
	done := false
	w.hook = func(s StepEvent) {
		if before != nil {
			before(s)
		}
		if !done && s.Op == op && s.Step == step {
			done = true
			f(s)
		}
	}
}
