package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/entry/explainhttp"
)

// explainCommand prints what a node would do with a request now. Host and path are an argument.
type explainCommand struct {
	Target     string        `arg:"" name:"target" help:"Host and path of the request, as in HOST/PATH; a query is ignored."`
	Account    string        `help:"Name of the account whose key the request carries." placeholder:"NAME"`
	DataCentre string        `help:"List the replicas of this data centre only." placeholder:"DC"`
	Server     string        `help:"URL of a node's metrics listener." env:"BAOBAB_EXPLAIN_SERVER" default:"http://127.0.0.1:9464"`
	Shards     bool          `help:"List the shards of a sharded route one by one."`
	JSON       bool          `name:"json" help:"Print JSON."`
	Timeout    time.Duration `default:"10s" help:"Time to wait for the explanation."`
}

// Errors of the command.
var (
	explainErrors = errorx.NewNamespace("explain_command")
	// errTarget means that the argument is not of the form HOST/PATH.
	errTarget = explainErrors.NewType("target")
	// errDeclined means that the node gave an error instead of an explanation.
	errDeclined = explainErrors.NewType("declined")
	// errNoExplanation means that no answer of a node was received.
	errNoExplanation = explainErrors.NewType("no_explanation")
)

// run prints an explanation and returns the exit code. Nothing changes at the node, so an answer
// that is lost counts like a node that cannot be reached.
func (c *explainCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	explanation, err := c.fetch(ctx)
	if err != nil {
		if e := errorx.Cast(err); e != nil {
			_, _ = fmt.Fprintf(stderr, "baobabctl: %s\n", e.Message())
		}
		switch {
		case errorx.IsOfType(err, errTarget):
			return exitUsage
		case errorx.IsOfType(err, errDeclined):
			return exitRefused
		}
		return exitUnreachable
	}
	if c.JSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(explanation)
	} else {
		err = printExplanation(stdout, explanation)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "baobabctl: %v\n", err)
	}
	return exitOK
}

// fetch asks the node for an explanation.
func (c *explainCommand) fetch(ctx context.Context) (*forward.Explanation, error) {
	address, err := c.url()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errNoExplanation.New("%v", err)
	}
	response, err := newHTTPClient().Do(request)
	if err != nil {
		return nil, errNoExplanation.New("node cannot be reached: %v", errors.Unwrap(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errNoExplanation.New("the answer is incomplete: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		var e explainhttp.ErrorBody
		if json.Unmarshal(body, &e) != nil || e.Reason == "" {
			return nil, errNoExplanation.New("the answer with status %d is not that of a node that explains", response.StatusCode)
		}
		return nil, errDeclined.New("%s: %s", e.Reason, e.Message)
	}
	var explanation forward.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil || explanation.Route.Name == "" {
		return nil, errNoExplanation.New("the answer is not that of a node that explains")
	}
	return &explanation, nil
}

// url returns the URL of the explanation.
func (c *explainCommand) url() (string, error) {
	target := c.Target
	if _, rest, ok := strings.Cut(target, "://"); ok {
		target = rest
	}
	host, path, _ := strings.Cut(target, "/")
	path, _, _ = strings.Cut(path, "?")
	if host == "" || strings.Contains(host, "?") {
		return "", errTarget.New("%q is not of the form HOST/PATH", c.Target)
	}
	q := url.Values{explainhttp.ParamHost: {host}, explainhttp.ParamPath: {"/" + path}}
	if c.Account != "" {
		q.Set(explainhttp.ParamAccount, c.Account)
	}
	if c.DataCentre != "" {
		q.Set(explainhttp.ParamDataCentre, c.DataCentre)
	}
	if c.Shards {
		q.Set(explainhttp.ParamShards, "1")
	}
	return strings.TrimRight(c.Server, "/") + explainhttp.Path + "?" + q.Encode(), nil
}
