package demo

import "fmt"

// Fault is a fault that a demonstration can inject.
type Fault string

// ParseFaults reads names separated by commas.
func ParseFaults(names string) ([]Fault, error) {
	if names == "" {
		return nil, nil
	}
	return nil, fmt.Errorf("no fault %q", names)
}
