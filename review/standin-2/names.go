package main

import (
	_ "embed"
	"encoding/json"
)

// names holds the platform's names of headers and fields.
var names struct {
	ID        string `json:"id"`
	Seal      string `json:"seal"`
	Deadline  string `json:"deadline"`
	Endpoint  string `json:"endpoint"`
	NotRun    string `json:"notRun"`
	Tokens    string `json:"tokens"`
	Model     string `json:"model"`
	Instance  string `json:"instance"`
	Cold      string `json:"cold"`
	LastEvent string `json:"lastEvent"`
	Split     string `json:"split"`
}

//go:embed names.json
var namesText []byte

// documentText is a valid configuration with one plain service and one service of model engines.
//
//go:embed document.json
var documentText []byte

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}
