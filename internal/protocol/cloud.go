package protocol

// Paths of the cloud's interface.
const (
	PathCatalog = "/catalog"
	PathHosts   = "/hosts"
	PathRelease = "/hosts/release"
)

// Limits of the cloud's requests.
const (
	MaxRent    = 50
	MaxRelease = 100
	MaxList    = 500
)

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `cbor:"name"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"memory_gb"`
	CacheGB   float64  `cbor:"cache_gb"`
	FetchRate float64  `cbor:"pull_gb_per_s"`
	Price     float64  `cbor:"price"`
	SpotPrice float64  `cbor:"spot_price"`
	BootS     float64  `cbor:"ready_s"`
	Zones     []string `cbor:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `cbor:"looms"`
}

// Rent asks for machines. Request is never used again for anything else.
type Rent struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"loom"`
	Zone    string `cbor:"yard"`
	Spot    bool   `cbor:"borrowed"`
	Count   int    `cbor:"count"`
}

// MachineNames is the answer to Rent, and the body of a release.
type MachineNames struct {
	Machines []string `cbor:"dunes"`
}

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	ID       string  `cbor:"uid"`
	Endpoint string  `cbor:"endpoint"`
	Type     string  `cbor:"loom"`
	Zone     string  `cbor:"yard"`
	Spot     bool    `cbor:"borrowed"`
	Stage    string  `cbor:"stage"`
	AgeS     float64 `cbor:"age_s"`
}

// Stages of a listed machine.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"dunes"`
	More     bool            `cbor:"more"`
}
