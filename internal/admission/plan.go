package admission

import (
	"encoding/binary"
	"hash/fnv"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Band divides a class's jobs by their work, so that neither small jobs nor large ones
// starve the others.
type Band uint8

// The bands.
const (
	Small Band = iota
	Large
	Bands = 2
)

func (b Band) String() string {
	if b == Large {
		return "large"
	}
	return "small"
}

// Cell is a group of jobs with a share of its own.
type Cell struct {
	Team  string
	Class string // "": all classes that have no cell of their own
	Pool  Pool
	Band  Band
}

// Ring is the number of positions on which job ids are spread evenly. A gate admits the
// positions in a window that moves around the ring.
const Ring = 1 << 16

// Dwell is how long a window stays where it is: longer than users take to come back.
const Dwell = 4 * units.Second

// PerMille is a ratio in thousandths.
type PerMille uint32

// Exact is the ratio of estimates that hold.
const Exact PerMille = 1000

// TeamGate is what a plan says of one team's work in a pool.
type TeamGate struct {
	Quota      Work     // that cells without a gate of their own may take under this version
	LargeAbove Work     // a job of more work is in the band Large
	Correction PerMille // run times against the team's estimates
}

// CellGate restricts the jobs of a cell: small ones are admitted while their position is
// in the window, large ones when the plan names them.
type CellGate struct {
	Start uint32 // first position of the window
	Width uint32 // number of its positions
	Quota Work   // that may be admitted through the window under this version
}

// teamKey names a team's gate.
type teamKey struct {
	Team string
	Pool Pool
}

// Plan says which jobs are admitted. It never changes once it is made: a later plan has
// a higher version, and shares with it what has stayed the same.
type Plan struct {
	Version  uint64 // counts all plans of the fleet
	Term     uint64 // of the leader that made it
	Horizon  units.Micros
	Capacity Amounts

	teams *iradix.Tree[TeamGate]
	cells *iradix.Tree[CellGate]
	turns *iradix.Tree[struct{}] // large jobs whose turn it is, by id
}

// newPlan makes a plan without any gate.
func newPlan(version, term uint64, horizon units.Micros, capacity Amounts) *Plan {
	return &Plan{
		Version:  version,
		Term:     term,
		Horizon:  horizon,
		Capacity: capacity,
		teams:    iradix.New[TeamGate](),
		cells:    iradix.New[CellGate](),
		turns:    iradix.New[struct{}](),
	}
}

// appendName adds a name to a key so that no other names give the same key.
func appendName(key []byte, name string) []byte {
	key = binary.AppendUvarint(key, uint64(len(name)))
	return append(key, name...)
}

func (k teamKey) bytes(buffer []byte) []byte {
	return append(appendName(buffer, k.Team), byte(k.Pool))
}

func (c Cell) bytes(buffer []byte) []byte {
	buffer = appendName(buffer, c.Team)
	buffer = append(buffer, byte(c.Pool), byte(c.Band))
	return appendName(buffer, c.Class)
}

// Team gives a team's gate in a pool; false: the plan says nothing of it.
func (p *Plan) Team(team string, pool Pool) (TeamGate, bool) {
	var buffer [keyBuffer]byte
	return p.teams.Get(teamKey{Team: team, Pool: pool}.bytes(buffer[:0]))
}

// Gate gives the gate that a cell's jobs pass and the cell that it is for, which is the
// team's own or the one for all its other classes; false: none restricts them.
func (p *Plan) Gate(cell Cell) (CellGate, Cell, bool) {
	var buffer [keyBuffer]byte
	if gate, ok := p.cells.Get(cell.bytes(buffer[:0])); ok {
		return gate, cell, true
	}
	cell.Class = ""
	gate, ok := p.cells.Get(cell.bytes(buffer[:0]))
	return gate, cell, ok
}

// keyBuffer is room for usual names without allocating.
const keyBuffer = 96

// HasTurn tells whether a plan names a job.
func (p *Plan) HasTurn(id string) bool {
	_, named := p.turns.Get([]byte(id))
	return named
}

// Gates is the number of cells that the plan restricts.
func (p *Plan) Gates() int { return p.cells.Len() }

// Turns is the number of jobs that the plan names.
func (p *Plan) Turns() int { return p.turns.Len() }

// Classify gives a job's cell and its work, as the plan reckons both.
func (p *Plan) Classify(job *protocol.JobSpec) (Cell, Work) {
	cell := Cell{Team: job.Team, Class: job.Class, Pool: poolOf(job.Request, p.Capacity)}
	gate, known := p.Team(cell.Team, cell.Pool)
	if !known {
		gate = TeamGate{LargeAbove: MaxWork, Correction: Exact}
	}
	cost := WorkOf(job.Tasks, amountIn(cell.Pool, job.Request), runTime(job, gate.Correction, p.Horizon))
	if cost > gate.LargeAbove {
		cell.Band = Large
	}
	return cell, cost
}

// Remaining gives a job's cell and the work of its tasks that are not done. seen is the
// mean run time of those that are, 0 if none is.
func (p *Plan) Remaining(job *protocol.JobSpec, unfinished int, seen units.Micros) (Cell, Work) {
	cell, _ := p.Classify(job)
	run := seen
	if run <= 0 {
		gate, known := p.Team(cell.Team, cell.Pool)
		if !known {
			gate.Correction = Exact
		}
		run = runTime(job, gate.Correction, p.Horizon)
	}
	return cell, WorkOf(unfinished, amountIn(cell.Pool, job.Request), run)
}

// position places a job on the ring.
func position(id string) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	// The hash of short ids differs mostly in its low bits; the product spreads these
	// over the high ones.
	const spread = 0x9e3779b97f4a7c15
	return uint32(h.Sum64() * spread >> 48)
}

// admits tells whether a position is in the window.
func (g CellGate) admits(position uint32) bool {
	return (position-g.Start)%Ring < g.Width
}
