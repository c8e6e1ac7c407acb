package config_test

import (
	"errors"
	"net/http"
)

// errCutOff is the error of calls to the store or to a peer that the keeper cannot reach.
var errCutOff = errors.New("cut off")

// storeClient calls the fake store.
var storeClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
