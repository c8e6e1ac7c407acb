package config_test

import (
	"errors"
	"net/http"
)

// errCut is what a keeper sees that is cut off.
var errCut = errors.New("cut off")

// standinClient calls the stand-in of the store.
var standinClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
