// Package lang implements the query and command language. It parses text into
// searches, configuration operations and requests for reports, and formats them as
// text. docs/language.md is the reference of the language.
package lang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens are the rules of the lexer. It tries them in order, so a more specific rule
// must come before a more general one. Strings keep their quotes until the conversion,
// so that a quoted name is never taken for a keyword.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Address", Pattern: `(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[[0-9A-Fa-f:.]+\]):\d+\b`},
	{Name: "Share", Pattern: `\d+(\.\d+)?%`},
	{Name: "Duration", Pattern: `(\d+(\.\d+)?(ns|us|µs|ms|s|m|h))+\b`},
	{Name: "Hex", Pattern: `0[xX][0-9A-Fa-f]+\b`},
	{Name: "Number", Pattern: `[-+]?\d+(\.\d+)?\b`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	{Name: "Compare", Pattern: `<=|>=|!=|=|<|>`},
	{Name: "Punct", Pattern: `[;,]`},
})

var parser = participle.MustBuild[scriptNode](
	participle.Lexer(tokens),
	participle.Elide("Comment", "Space"),
	participle.CaseInsensitive("Ident"),
	// The first token decides between alternatives. With more lookahead the parser
	// would backtrack and report errors at the start of the alternative.
	participle.UseLookahead(0),
)

type scriptNode struct {
	Heads      []*headNode      `parser:"@@*"`
	Statements []*statementNode `parser:"@@ ( ';' @@? )*"`
}

// headNode is an option at the start of a script.
type headNode struct {
	Pos    lexer.Position
	Expect *numberNode `parser:"(  'expect' 'revision' @@"`
	Why    *stringNode `parser:" | 'because' @@ ) ';'*"`
}

// textNode is a name, with or without quotes. stringNode, numberNode and so on are the
// other terminals. Each keeps its position for error messages.
type textNode struct {
	Pos lexer.Position
	Raw string `parser:"@(Ident | String)"`
}

type stringNode struct {
	Pos lexer.Position
	Raw string `parser:"@String"`
}

type numberNode struct {
	Pos lexer.Position
	Raw string `parser:"@(Number | Hex)"`
}

type durationNode struct {
	Pos lexer.Position
	Raw string `parser:"@Duration"`
}

type shareNode struct {
	Pos lexer.Position
	Raw string `parser:"@Share"`
}

type switchNode struct {
	Pos lexer.Position
	Raw string `parser:"@('on' | 'off')"`
}

type addressNode struct {
	Pos lexer.Position
	Raw string `parser:"@(Address | String)"`
}

type valueNode struct {
	Pos lexer.Position
	Raw string `parser:"@(String | Number | Ident | Duration | Share | Address | Hex)"`
}

type statementNode struct {
	Pos     lexer.Position
	Search  *searchNode  `parser:"  'search' @@"`
	Explain *searchNode  `parser:"| 'explain' 'search' @@"`
	Show    *showNode    `parser:"| 'show' @@"`
	Create  *createNode  `parser:"| 'create' @@"`
	Alter   *alterNode   `parser:"| 'alter' @@"`
	Drop    *dropNode    `parser:"| 'drop' @@"`
	Split   *splitNode   `parser:"| 'split' 'shard' @@"`
	Merge   *mergeNode   `parser:"| 'merge' 'shards' @@"`
	Drain   *drainNode   `parser:"| 'drain' @@"`
	Undrain *drainNode   `parser:"| 'undrain' @@"`
	Recover *recoverNode `parser:"| 'recover' @@"`
}

type recoverNode struct {
	Word string `parser:"@'configuration'"`
}

type searchNode struct {
	Service    textNode            `parser:"@@"`
	Conditions []*conditionNode    `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Options    []*searchOptionNode `parser:"@@*"`
}

type conditionNode struct {
	Field   textNode  `parser:"@@"`
	Compare string    `parser:"@( Compare | 'contains' )"`
	Value   valueNode `parser:"@@"`
}

type searchOptionNode struct {
	Pos      lexer.Position
	Order    *orderNode    `parser:"  'order' 'by' @@"`
	Limit    *numberNode   `parser:"| 'limit' @@"`
	Deadline *durationNode `parser:"| 'deadline' @@"`
	Coverage *shareNode    `parser:"| 'coverage' @@"`
	Early    *switchNode   `parser:"| 'early' 'return' @@"`
}

type orderNode struct {
	Field     textNode `parser:"@@"`
	Direction string   `parser:"@( 'asc' | 'desc' )?"`
}

type showNode struct {
	Services      bool          `parser:"  @'services'"`
	Service       *textNode     `parser:"| 'service' @@"`
	Replicas      *replicasNode `parser:"| @@"`
	Shards        *textNode     `parser:"| 'shards' 'of' @@"`
	History       *historyNode  `parser:"| @@"`
	Status        bool          `parser:"| @'status'"`
	Configuration bool          `parser:"| @'configuration'"`
}

type replicasNode struct {
	Word string    `parser:"@'replicas'"`
	Of   *textNode `parser:"( 'of' @@ )?"`
}

type historyNode struct {
	Word  string      `parser:"@'history'"`
	Limit *numberNode `parser:"( 'limit' @@ )?"`
}

type createNode struct {
	Service *createServiceNode `parser:"  'service' @@"`
	Replica *createReplicaNode `parser:"| 'replica' @@"`
	Shard   *createShardNode   `parser:"| 'shard' @@"`
}

type createServiceNode struct {
	Name     textNode       `parser:"@@ 'kind'"`
	Kind     string         `parser:"@( 'search' | 'work' )"`
	Settings []*settingNode `parser:"( ','? @@ )*"`
}

type settingNode struct {
	Pos       lexer.Position
	Deadline  *durationNode `parser:"  'deadline' @@"`
	Coverage  *shareNode    `parser:"| 'coverage' @@"`
	Early     *switchNode   `parser:"| 'early' 'return' @@"`
	ExtraLoad *shareNode    `parser:"| 'extra' 'load' @@"`
	Canary    *switchNode   `parser:"| 'canary' @@"`
	MaxRows   *numberNode   `parser:"| 'max' 'rows' @@"`
}

type createReplicaNode struct {
	Name    textNode     `parser:"@@"`
	Service textNode     `parser:"'of' @@"`
	Places  []*placeNode `parser:"( ','? @@ )*"`
}

// placeNode is one attribute of a replica.
type placeNode struct {
	Pos         lexer.Position
	Address     *addressNode `parser:"  'address' @@"`
	DataCentre  *textNode    `parser:"| 'data' 'centre' @@"`
	VM          *textNode    `parser:"| 'vm' @@"`
	Slots       *numberNode  `parser:"| 'slots' @@"`
	Connections *numberNode  `parser:"| 'connections' @@"`
	Drained     bool         `parser:"| @'drained'"`
}

type createShardNode struct {
	Name     textNode   `parser:"@@"`
	Service  textNode   `parser:"'of' @@"`
	First    numberNode `parser:"'range' @@"`
	Last     numberNode `parser:"'to' @@"`
	Replicas *listNode  `parser:"( 'on' @@ )?"`
}

// listNode is a list of replicas; the word none stands for an empty list.
type listNode struct {
	None  bool        `parser:"  @'none'"`
	Names []*textNode `parser:"| @@ ( ',' @@ )*"`
}

type alterNode struct {
	Service *alterServiceNode `parser:"  'service' @@"`
	Replica *alterReplicaNode `parser:"| 'replica' @@"`
	Shard   *alterShardNode   `parser:"| 'shard' @@"`
}

type alterServiceNode struct {
	Name     textNode       `parser:"@@"`
	Settings []*settingNode `parser:"@@ ( ','? @@ )*"`
}

type alterReplicaNode struct {
	Name   textNode     `parser:"@@"`
	Places []*placeNode `parser:"@@ ( ','? @@ )*"`
}

type alterShardNode struct {
	Name     textNode `parser:"@@"`
	Service  textNode `parser:"'of' @@"`
	Replicas listNode `parser:"'on' @@"`
}

type dropNode struct {
	Service *textNode      `parser:"  'service' @@"`
	Replica *textNode      `parser:"| 'replica' @@"`
	Shard   *dropShardNode `parser:"| 'shard' @@"`
}

type dropShardNode struct {
	Name    textNode `parser:"@@"`
	Service textNode `parser:"'of' @@"`
}

// partNode is a shard that a split or a merge creates.
type partNode struct {
	Name     textNode  `parser:"@@"`
	Replicas *listNode `parser:"( 'on' @@ )?"`
}

type splitNode struct {
	Name    textNode   `parser:"@@"`
	Service textNode   `parser:"'of' @@"`
	At      numberNode `parser:"'at' @@"`
	Low     partNode   `parser:"'into' @@"`
	High    partNode   `parser:"'and' @@"`
}

type mergeNode struct {
	Names   []*textNode `parser:"@@ ( ',' @@ )+"`
	Service textNode    `parser:"'of' @@"`
	Into    partNode    `parser:"'into' @@"`
}

type drainNode struct {
	Replica *textNode `parser:"  'replica' @@"`
	VM      *textNode `parser:"| 'vm' @@"`
}
