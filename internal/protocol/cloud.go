package protocol

// Paths of the cloud's interface.
const (
	PathCatalog  = "/catalog"
	PathMachines = "/hosts"
	PathScaleIn  = "/hosts/release"
)

// Limits of the cloud's requests.
const (
	MaxScaleOut = 50
	MaxScaleIn  = 100
	MaxListPage = 500
)

// InstanceType is an entry of the cloud's catalog.
type InstanceType struct {
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
	Types []InstanceType `cbor:"looms"`
}

// ScaleOutRequest asks for machines. Request is never used again for anything else.
type ScaleOutRequest struct {
	RequestID    string `cbor:"hire"`
	InstanceType string `cbor:"loom"`
	Zone         string `cbor:"yard"`
	Spot         bool   `cbor:"borrowed"`
	Count        int    `cbor:"count"`
}

// MachineIDs is the answer to Rent, and the body of a release.
type MachineIDs struct {
	Machines []string `cbor:"dunes"`
}

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	ID           string  `cbor:"uid"`
	Endpoint     string  `cbor:"endpoint"`
	InstanceType string  `cbor:"loom"`
	Zone         string  `cbor:"yard"`
	Spot         bool    `cbor:"borrowed"`
	Stage        string  `cbor:"stage"`
	AgeSeconds   float64 `cbor:"age_s"`
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
