package chart

import "github.com/oriolepond/oriolepond/internal/jsonc"

// check records a fault for each reference to an unknown state, each state
// that is not reachable, and each that does not lead to a final one.
func (c *Chart) check(root, states *jsonc.Object, finals []jsonc.Value) {
	if _, known := c.next[c.initial]; !known {
		root.Value().Faultf("initial state %q is not declared", c.initial)
		return
	}
	for _, v := range finals {
		if _, known := c.next[State(v.String())]; !known {
			v.Faultf("final state %q is not declared", v.String())
		}
	}
	reached := c.reach()
	ending := c.ending()
	for _, name := range states.Names() {
		v, _ := states.Required(name)
		s := State(name)
		for e, to := range c.next[s] {
			if _, known := c.next[to]; !known {
				v.Faultf("event %q leads to the unknown state %q", e, to)
			}
			if c.final[s] && to != s {
				v.Faultf("the final state is left by event %q", e)
			}
		}
		if !reached[s] {
			v.Faultf("the state is not reachable")
		}
		if len(c.final) > 0 && !ending[s] {
			v.Faultf("no final state is reachable from the state")
		}
	}
}

// reach returns the states that can be reached from the initial one.
func (c *Chart) reach() map[State]bool {
	reached := map[State]bool{c.initial: true}
	open := []State{c.initial}
	for len(open) > 0 {
		s := open[0]
		open = open[1:]
		for _, to := range c.next[s] {
			if !reached[to] {
				reached[to] = true
				open = append(open, to)
			}
		}
	}
	return reached
}

// ending returns the states from which a final one can be reached.
func (c *Chart) ending() map[State]bool {
	ending := map[State]bool{}
	for s := range c.final {
		ending[s] = true
	}
	for changed := true; changed; {
		changed = false
		for s, next := range c.next {
			for _, to := range next {
				if ending[to] && !ending[s] {
					ending[s] = true
					changed = true
				}
			}
		}
	}
	return ending
}
