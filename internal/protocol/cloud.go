package protocol

// Bounds on requests to the cloud: machines in one request or on one page.
const (
	MaxScaleOut = 50
	MaxScaleIn  = 100
	MaxListPage = 500
)

// InstanceType is an entry of the cloud's catalog: what a machine of the type has, and its
// prices by hour.
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

// Catalog lists the instance types.
type Catalog struct {
	Types []InstanceType `cbor:"looms"`
}

// ScaleOutRequest rents machines. It is idempotent by its RequestID, which is never used again
// for anything else.
type ScaleOutRequest struct {
	RequestID    string `cbor:"hire"`
	InstanceType string `cbor:"loom"`
	Zone         string `cbor:"yard"`
	Spot         bool   `cbor:"borrowed"`
	Count        int    `cbor:"count"`
}

// MachineIDs answers a ScaleOutRequest, and is the body of a request to scale in.
type MachineIDs struct {
	Machines []string `cbor:"dunes"`
}

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	ID           string       `cbor:"uid"`
	Endpoint     string       `cbor:"endpoint"`
	InstanceType string       `cbor:"loom"`
	Zone         string       `cbor:"yard"`
	Spot         bool         `cbor:"borrowed"`
	Stage        MachineStage `cbor:"stage"`
	AgeSeconds   float64      `cbor:"age_s"`
}

// MachineStage is the stage of a machine as the cloud sees it.
type MachineStage string

// The stages of a listed machine.
const (
	MachineBooting MachineStage = "booting"
	MachineRunning MachineStage = "running"
	MachineFailed  MachineStage = "failed"
)

// MachineList is a page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `cbor:"dunes"`
	More     bool            `cbor:"more"`
}
