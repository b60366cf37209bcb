package lang

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// Script is a list of statements. Either all are Changes, which are applied together as
// one configuration change, or all are searches and reports.
type Script struct {
	// Expected is the revision given by `expect revision N`; nil if absent.
	Expected *uint64
	// Why is the reason given by `because "..."`.
	Why        string
	Statements []Statement
}

// Statement is one of Search, Explain, Show and Change.
type Statement interface{ isStatement() }

// Search runs a search.
type Search struct {
	Search api.Search
	// Deadline is the time that the search may take; 0 selects the deadline of the
	// service.
	Deadline time.Duration
}

// Explain asks for a report on how a search would run.
type Explain struct{ Search Search }

// Subject is what a Show statement reports.
type Subject string

// The subjects of a Show statement.
const (
	ShowServices      Subject = "services"
	ShowService       Subject = "service"
	ShowReplicas      Subject = "replicas"
	ShowShards        Subject = "shards"
	ShowHistory       Subject = "history"
	ShowStatus        Subject = "status"
	ShowConfiguration Subject = "configuration"
)

// Show asks for a report.
type Show struct {
	Subject Subject
	// Service is set for ShowService and ShowShards, and optional for ShowReplicas.
	Service api.ServiceName
	// Limit is the largest number of changes that ShowHistory shows; 0 shows all.
	Limit int
}

// Change is one operation on the configuration.
type Change struct{ Op config.Op }

func (Search) isStatement()  {}
func (Explain) isStatement() {}
func (Show) isStatement()    {}
func (Change) isStatement()  {}

// Ops returns the operations of a script that is a configuration change, and nil for
// other scripts.
func (s *Script) Ops() []config.Op {
	var out []config.Op
	for _, st := range s.Statements {
		if c, ok := st.(Change); ok {
			out = append(out, c.Op)
		}
	}
	return out
}
