package chart

import "github.com/oriolepond/oriolepond/internal/jsonc"

// check records a fault for each reference to an unknown state, each transition out of a final
// state, each unreachable state, and each state from which no final state can be reached.
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
	reached := c.reachable()
	leading := c.leadingToFinal()
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
		if len(c.final) > 0 && !leading[s] {
			v.Faultf("no final state is reachable from the state")
		}
	}
}

// reachable returns the states that can be reached from the initial state.
func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.initial: true}
	frontier := []State{c.initial}
	for len(frontier) > 0 {
		s := frontier[0]
		frontier = frontier[1:]
		for _, to := range c.next[s] {
			if !reached[to] {
				reached[to] = true
				frontier = append(frontier, to)
			}
		}
	}
	return reached
}

// leadingToFinal returns the states from which a final state can be reached.
func (c *Chart) leadingToFinal() map[State]bool {
	leading := map[State]bool{}
	for s := range c.final {
		leading[s] = true
	}
	for changed := true; changed; {
		changed = false
		for s, next := range c.next {
			for _, to := range next {
				if leading[to] && !leading[s] {
					leading[s] = true
					changed = true
				}
			}
		}
	}
	return leading
}
